/**
 * What placement, admission and spillover need to know about the capacity of runners.
 */
import type { Runner } from '../runners/Runner.js';
import type { RequestWork } from './capacityTypes.js';

/** The part of a request that its room depends on. */
export interface RoomQuestion {
  readonly service: string;
  readonly work?: RequestWork | undefined;
  readonly now: number;
}

/** Estimates of the time that runners need, from what they state and what daemons report. All times are monotonic ms. */
export abstract class CapacityView {
  /**
   * @param service - name of the service.
   * @param now - current time.
   * @returns Whether the runners of the service state the speed of their instances; if not, runners are chosen by counts.
   */
  abstract applies(service: string, now: number): boolean;

  /**
   * @param runner - a runner of a service to which the estimates apply.
   * @param now - current time.
   * @returns Time until the runner can begin with another request, in ms: until it has read the prompts that it still has
   * to read, and one of its slots is free.
   */
  abstract backlogMilliseconds(runner: Runner, now: number): number;

  /**
   * @param runner - a runner of a service to which the estimates apply.
   * @param unreadTokens - prompt tokens of a request that the runner has not cached; `undefined` for a plain request.
   * @param now - current time.
   * @returns Time until the first event or the answer of the request once the runner has begun with it, in ms.
   */
  abstract ownMilliseconds(runner: Runner, unreadTokens: number | undefined, now: number): number;

  /**
   * @param service - name of a service to which the estimates apply.
   * @param unreadTokens - prompt tokens of a request that its runner has not cached; `undefined` for a plain request.
   * @returns Time for which the request takes up a runner of usual speed, in ms; a plain one takes up one of its slots.
   */
  abstract workMilliseconds(service: string, unreadTokens: number | undefined): number;

  /**
   * @param service - name of a service to which the estimates apply.
   * @param now - current time.
   * @returns Number of runners of usual speed that would do as much as those that accept new work.
   */
  abstract usualRunners(service: string, now: number): number;

  /**
   * Counts the plain requests that may be sent now until the runners have a backlog. Daemons know of each other's
   * requests with a delay, so that together they would fill the same room several times if each took all of it.
   *
   * @param question - service and time; requests with a prompt are not limited by their number.
   * @param backlogMilliseconds - backlog that the runners may have.
   * @param deciders - number of daemons that share the room.
   * @returns Number of requests, of which a part may be left; infinite if it is not limited.
   */
  abstract roomFor(question: RoomQuestion, backlogMilliseconds: number, deciders: number): number;

  /**
   * @param runner - a runner of a service to which the estimates apply.
   * @param tokens - tokens of memory that a request needs besides what is cached.
   * @param now - current time.
   * @returns Whether the runner has so much memory left beside the running requests.
   */
  abstract fits(runner: Runner, tokens: number, now: number): boolean;
}

/** For fleets whose runners state nothing about their speed. */
export class UnknownCapacity extends CapacityView {
  override applies(): boolean {
    return false;
  }

  override backlogMilliseconds(): number {
    return 0;
  }

  override ownMilliseconds(): number {
    return 0;
  }

  override workMilliseconds(): number {
    return 0;
  }

  override usualRunners(): number {
    return Number.POSITIVE_INFINITY;
  }

  override roomFor(): number {
    return Number.POSITIVE_INFINITY;
  }

  override fits(): boolean {
    return true;
  }
}
