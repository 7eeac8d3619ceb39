/**
 * Errors in reading the configuration from the platform's store.
 */

/** Thrown when records in the store contradict each other: a read returned stale data or met a partial change. */
export class InconsistentStoreError extends Error {
  /**
   * @param message - the inconsistency.
   * @param options - the cause, if any.
   */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'InconsistentStoreError';
  }
}
