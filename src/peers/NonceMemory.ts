/**
 * Remembers the nonces of recent tokens, so that a recorded token is refused as a replay.
 */

/** Options of a {@link NonceMemory}. */
export interface NonceMemoryOptions {
  /** Milliseconds for which a nonce is remembered unless the memory is full. */
  windowMilliseconds?: number;
  /** Maximum number of nonces in one generation; two generations are kept. */
  maximumNonces?: number;
}

const DEFAULT_WINDOW_MILLISECONDS = 120_000;

/** Allows 833 calls a second over the default window; more calls shorten the window, see `addIfNew`. */
const DEFAULT_MAXIMUM_NONCES = 100_000;

interface Generation {
  readonly nonces: Set<string>;
  /** Latest time of issue among this generation's tokens, in wall-clock milliseconds. */
  latestIssuedAt: number;
}

function emptyGeneration(): Generation {
  return { nonces: new Set(), latestIssuedAt: 0 };
}

/** Keeps two generations of nonces and drops the older one whole, so that no timer for each nonce is needed. */
export class NonceMemory {
  private readonly windowMilliseconds: number;

  private readonly maximumNonces: number;

  private current = emptyGeneration();

  private previous = emptyGeneration();

  private currentSince = 0;

  /** Nonces of tokens issued up to this wall-clock time, in milliseconds, may have been dropped already. */
  private forgottenUntil = 0;

  /**
   * @param options - the window and the maximum number of nonces.
   */
  constructor({
    windowMilliseconds = DEFAULT_WINDOW_MILLISECONDS,
    maximumNonces = DEFAULT_MAXIMUM_NONCES,
  }: NonceMemoryOptions = {}) {
    this.windowMilliseconds = windowMilliseconds;
    this.maximumNonces = maximumNonces;
  }

  /**
   * Adds a nonce unless it is, or may be, one that was added before.
   *
   * @param now - the current time, in monotonic milliseconds.
   * @param nonce - the nonce, as text.
   * @param issuedAt - the time when the token was issued, in wall-clock milliseconds.
   * @returns Whether the nonce is certainly new; only then it was added.
   */
  addIfNew(now: number, nonce: string, issuedAt: number): boolean {
    const isFull = this.current.nonces.size >= this.maximumNonces;
    if (isFull || now - this.currentSince >= this.windowMilliseconds) this.startGeneration(now);
    // When there are more calls than the memory holds, keeping every nonce would exhaust the daemon's memory, and
    // refusing every call would interrupt service until the window has passed. Instead, the oldest nonces are dropped
    // early and tokens as old as these are refused: fresh calls still succeed and a replay still fails. The sign of
    // this state is that callers whose clock is behind are refused as "replayed".
    if (issuedAt <= this.forgottenUntil) return false;
    if (this.current.nonces.has(nonce) || this.previous.nonces.has(nonce)) return false;
    this.current.nonces.add(nonce);
    this.current.latestIssuedAt = Math.max(this.current.latestIssuedAt, issuedAt);
    return true;
  }

  private startGeneration(now: number): void {
    this.forgottenUntil = Math.max(this.forgottenUntil, this.previous.latestIssuedAt);
    this.previous = this.current;
    this.current = emptyGeneration();
    this.currentSince = now;
  }
}
