/**
 * Types that the parts of the callers' interface share.
 */
import type { ClientConnections } from '../clients/ClientConnections.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { Priority } from '../gates/gateTypes.js';
import type { HomePort } from '../homes/HomePort.js';
import type { Log } from '../logging/Log.js';
import type { BindingIssuer } from '../requests/BindingIssuer.js';
import type { RequestPort } from '../requests/RequestPort.js';
import type { OutcomeCode } from '../requests/requestTypes.js';
import type { Clock } from '../time/Clock.js';
import type { BodyBudget } from './BodyBudget.js';
import type { CallersSettings } from './callersFeature.js';
import type { CallerMetrics } from './CallerMetrics.js';

/** Dependencies that all exchanges and routes share. */
export interface CallerContext {
  readonly fleet: FleetView;
  readonly requests: RequestPort;
  readonly bindings: BindingIssuer;
  /** Finds the runners where a chat is warm; if missing, locate treats every chat as cold. */
  readonly homes?: HomePort;
  readonly log: Log;
  readonly clock: Clock;
  readonly metrics: CallerMetrics;
  readonly settings: CallersSettings;
  readonly bodyBudget: BodyBudget;
  /** Keeps the callers within the limits of the process. */
  readonly clients: ClientConnections;
  /** @returns Whether the daemon is draining before a planned stop. */
  readonly isDraining: () => boolean;
}

/** Details of a request, collected while it is handled, for logs and metrics. */
export interface ExchangeNotes {
  /** Name of the route. */
  readonly route?: string;
  readonly service?: string;
  readonly priority?: Priority;
  /** Name of the chat within the account. */
  readonly chat?: string;
  readonly runnerId?: string;
  /** Code of the error that ended the request. */
  readonly code?: OutcomeCode;
  /** When the headers of the answer were sent, in milliseconds of the monotonic clock. */
  readonly firstByteAt?: number;
}
