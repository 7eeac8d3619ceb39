/**
 * The headers between callers, daemons and runners that the forwarding path reads and writes. Their names and
 * encoding depend on the deployment, so an adapter supplies them.
 */
import type { IncomingHttpHeaders } from 'node:http';

import type { RequestWork, StatedLoad } from '../capacity/capacityTypes.js';
import type { RunnerEntry } from '../runners/Runner.js';

/** Header names in lower case, by purpose. */
export interface HeaderNames {
  /** Id of one attempt by a caller; runners echo it. */
  readonly requestId: string;
  /** How long the sender will wait, in ms. */
  readonly deadline: string;
  /** API key of the caller; never forwarded. */
  readonly key: string;
  /** Name of the client account, sent to the runner. */
  readonly clientAccount: string;
  /** Id of the only runner that may run the request. */
  readonly expectedRunner: string;
  /** Priority in the runner's queue, from 0 (served first) to 9. */
  readonly urgency: string;
  /** Address of the runner from which the cached part of the prompt should be copied. */
  readonly cacheSource: string;
  /** Id of the answering runner; optional. */
  readonly speaker: string;
  /** Signature with which a runner proves that it sent the answer; every successful answer has one. */
  readonly signature: string;
  /** Id of the last event of a stream that the caller has received. */
  readonly lastEventId: string;
  /** Id of the caller's attempt that a stream began with, in a request that takes the stream up. */
  readonly resumes: string;
  /** Headers that only the fleet may set; removed from callers' requests. */
  readonly systemOnly: readonly string[];
}

/** Interprets the headers of runners and callers. */
export abstract class RunnerProtocol {
  abstract readonly names: HeaderNames;

  /** Path at which runners serve reports on themselves; not all of them do. */
  abstract readonly reportPath: string;

  /** Path at which runners list the parts of prompts that they have cached; not all of them do. */
  abstract readonly cachedPartsPath: string;

  /**
   * @param status - status code of a runner's answer.
   * @param headers - headers of a runner's answer.
   * @returns Whether the runner declares that it has not run the request.
   */
  abstract didNotRun(status: number, headers: IncomingHttpHeaders): boolean;

  /**
   * @param headers - headers of a runner's answer.
   * @returns Whether the runner announces that it is shutting down.
   */
  abstract isLeaving(headers: IncomingHttpHeaders): boolean;

  /**
   * @param headers - headers of a runner's answer.
   * @returns Number of requests per second that a brittle runner can reject without falling over; `undefined` if it is
   * not brittle.
   */
  abstract brittleLimit(headers: IncomingHttpHeaders): number | undefined;

  /**
   * @param headers - headers of a caller's request.
   * @returns Ids of the parts of its prompt that other requests share, the outermost first.
   */
  abstract sharedPartsOf(headers: IncomingHttpHeaders): readonly string[];

  /**
   * @param headers - headers of a caller's request.
   * @returns The work of the request, or `undefined` if the headers do not describe a prompt.
   */
  abstract workOf(headers: IncomingHttpHeaders): RequestWork | undefined;

  /**
   * @param headers - headers of a runner's answer.
   * @returns The load that the runner states, or `undefined` if there is none or it is malformed.
   */
  abstract statedLoad(headers: IncomingHttpHeaders): StatedLoad | undefined;

  /**
   * @param report - body of a runner's report on itself.
   * @param entry - the runner's entry, of this incarnation or an earlier one.
   * @returns The incarnation that has sent the report; `undefined` if the report is malformed or does not say, or the
   * incarnation of the entry is not known either.
   */
  abstract lifeIn(report: string, entry: Pick<RunnerEntry, 'id' | 'life'>): string | undefined;

  /**
   * @param list - body of a runner's list of cached parts.
   * @returns The ids of the parts; `undefined` if the list is malformed.
   */
  abstract cachedPartsIn(list: string): readonly string[] | undefined;
}
