/**
 * The warm runners that this daemon's own gates know, without a call to a chat's home.
 */

/** A runner behind a gate of this daemon that has a chat's prefix cached. */
export interface LocalWarmRunner {
  readonly runnerId: string;
  readonly cachedTokens: number;
  /** Whether a request would start there at once; if not, the chat's home is asked for other warm runners. */
  readonly hasRoom: boolean;
}

/** Looks up warm runners behind this daemon's own gates. */
export abstract class LocalWarmRunners {
  /**
   * Looks up a chat without a call.
   *
   * @param service - the service that the chat uses.
   * @param chat - the chat's name.
   * @returns The runners with a gate on this daemon that have the chat's prefix cached.
   */
  abstract runnersFor(service: string, chat: string): readonly LocalWarmRunner[];
}

/** Finds no runners; used until the gates are built. */
export class NoLocalWarmRunners extends LocalWarmRunners {
  override runnersFor(): readonly LocalWarmRunner[] {
    return [];
  }
}
