/**
 * The part of postject that the build uses; the package has no types of its own.
 */
declare module 'postject' {
  /** Options of {@link inject}. */
  export interface InjectOptions {
    sentinelFuse?: string;
  }

  /**
   * Puts a resource into a binary, in place.
   *
   * @param filename - the binary.
   * @param resourceName - how the binary finds it.
   * @param resourceData - its content.
   * @param options - the mark of the place.
   */
  export function inject(
    filename: string,
    resourceName: string,
    resourceData: Buffer,
    options?: InjectOptions,
  ): Promise<void>;
}
