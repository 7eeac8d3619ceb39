/**
 * Commands from the soak to the thread that carries one daemon's traffic.
 */

/** Kinds of peers at the other end of a daemon's connections. */
export type LinkSide = 'callers' | 'runners' | 'store';

/** Towards the daemon, or away from it. */
export type LinkDirection = 'in' | 'out';

/** All sides of a link. */
export const LINK_SIDES: readonly LinkSide[] = ['callers', 'runners', 'store'];

/** Rate and latency of a link; all data of one direction shares one queue. */
export interface LinkPace {
  /** 0 for no limit. */
  readonly bytesPerSecond: number;
  /** Added to each piece, in ms. */
  readonly delayMilliseconds: number;
}

/**
 * What a lost path does to connections. `hang`: open ones carry nothing and new ones are not accepted; `reset`: open
 * ones are reset and new ones refused; `refuse`: open ones go on and new ones are refused.
 */
export type Severance = 'hang' | 'reset' | 'refuse';

/** A command to a link. */
export type LinkCommand =
  | {
      readonly kind: 'open';
      readonly id: number;
      readonly side: LinkSide;
      readonly target: string;
    }
  | { readonly kind: 'close'; readonly port: number }
  | { readonly kind: 'pace'; readonly pace: LinkPace }
  /** Resets the open connections. */
  | { readonly kind: 'reset'; readonly side: LinkSide }
  /** Open connections carry no more data, without a close or reset to either end; new ones work. */
  | { readonly kind: 'silence'; readonly side: LinkSide }
  /** Bytes in one direction wait until the cut is mended. */
  | { readonly kind: 'cut'; readonly side: LinkSide; readonly direction: LinkDirection }
  | { readonly kind: 'mend'; readonly side: LinkSide; readonly direction: LinkDirection }
  /** The path to everything at this side is lost. */
  | { readonly kind: 'sever'; readonly side: LinkSide; readonly how: Severance }
  | { readonly kind: 'rejoin'; readonly side: LinkSide }
  /** Nothing passes, and no new connection is accepted; then all arrives at once. */
  | { readonly kind: 'hold'; readonly milliseconds: number };

/** Reports the port of a listener that was opened. */
export interface LinkOpened {
  readonly id: number;
  readonly port: number;
}

/** Reports that the thread itself was delayed. */
export interface LinkLate {
  readonly lateMilliseconds: number;
}

/** Data of the link's thread. */
export interface LinkData {
  /** IP number from which the link connects; stores and runners know the daemon's link by it. */
  readonly ownHost: string;
  /** IP number from which connections come that only fill the queues of new ones. */
  readonly fillerHost: string;
}
