/**
 * Hook through which the callers' interface reports its measurements.
 */

/** Measurements of one finished request. */
export interface ExchangeMeasurement {
  /** Name of the route, see `matchRoute.ts`. */
  readonly route: string;
  readonly clientAccount?: string;
  readonly service?: string;
  readonly priority?: string;
  /** HTTP status; 0 when the caller disconnected before an answer was sent. */
  readonly status: number;
  /** Error code, also for an error in the middle of a stream; missing for complete answers. */
  readonly code?: string;
  /** Time from the end of the request headers to the end of the answer. */
  readonly durationMilliseconds: number;
  /** Time from the end of the request headers to the sending of the answer's headers. */
  readonly firstByteMilliseconds?: number;
}

/** Response to a metrics scrape. */
export interface MetricsPage {
  readonly contentType: string;
  readonly text: string;
}

/** Receives measurements and renders them for a scrape. */
export abstract class CallerMetrics {
  /**
   * Records a finished request. Implementations must not throw.
   *
   * @param exchange - the measurements of the request.
   */
  abstract recordExchange(exchange: ExchangeMeasurement): void;

  /**
   * Renders the page for `GET /metrics`.
   *
   * @returns The page, or `undefined` when metrics are not collected.
   */
  abstract renderPage(): MetricsPage | undefined;
}

/** Implementation that discards all measurements. */
export class NoCallerMetrics extends CallerMetrics {
  override recordExchange(): void {}

  override renderPage(): undefined {
    return undefined;
  }
}
