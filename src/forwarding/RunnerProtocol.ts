/**
 * What the forwarding path has to know of the headers between callers, daemons and runners. The names and
 * their coding belong to whoever runs the fleet; an adapter supplies them.
 */
import type { IncomingHttpHeaders } from 'node:http';

/** Names of headers, in lower case, by what they hold. */
export interface HeaderNames {
  /** Id of one attempt of a caller; runners echo it. */
  readonly requestId: string;
  /** Milliseconds that the sender will wait. */
  readonly deadline: string;
  /** A caller's key; never passed on. */
  readonly key: string;
  /** Name of the client account, for the runner. */
  readonly clientAccount: string;
  /** Id of the only runner that may run the request. */
  readonly expectedRunner: string;
  /** Rank at the runner, 0 to 9, 0 first. */
  readonly urgency: string;
  /** Address of a runner from which the cached part of the prompt is to be copied. */
  readonly cacheSource: string;
  /** Id of the runner that answers, where it says so. */
  readonly speaker: string;
  /** A runner's proof that an answer is its own; every success has it. */
  readonly signature: string;
  /** The last event that a caller has of its stream. */
  readonly lastEventId: string;
  /** What only the system may set; dropped where callers send it. */
  readonly systemOnly: readonly string[];
}

/** Reads what runners and callers say in headers. */
export abstract class RunnerProtocol {
  abstract readonly names: HeaderNames;

  /**
   * @param status - of a runner's answer.
   * @param headers - of a runner's answer.
   * @returns Whether the runner states that it has not run the request.
   */
  abstract didNotRun(status: number, headers: IncomingHttpHeaders): boolean;

  /**
   * @param headers - of a runner's answer.
   * @returns Whether the runner says that it leaves.
   */
  abstract isLeaving(headers: IncomingHttpHeaders): boolean;

  /**
   * @param headers - of a caller's request.
   * @returns Ids of the parts of its prompt that other requests share, the outermost first.
   */
  abstract sharedPartsOf(headers: IncomingHttpHeaders): readonly string[];
}
