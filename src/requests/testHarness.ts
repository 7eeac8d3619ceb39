/**
 * One daemon's owner of requests with fake dependencies, for the specs.
 */
import { mock } from 'node:test';

import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { SilentLog } from '../logging/Log.js';
import type { PeerLink } from '../peers/PeerLink.js';
import { SignedTokens } from '../peers/SignedTokens.js';
import { RequestOwner } from './RequestOwner.js';
import type { RequestOwnerOptions } from './RequestOwner.js';
import type { RequestSettings } from './requestsFeature.js';
import { requestSettingsSchema } from './requestsFeature.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';
import { FakeChooser, FakeFleet, FakeHomes, collect, memberOf } from './testFakes.js';
import { FakeGates, FakeRunners } from './testGates.js';
import { VirtualTime } from './testTime.js';

/** A signal that is never aborted. */
export const NEVER_ABORTED = new AbortController().signal;

/** An entry daemon with its owner of requests, and another daemon that holds the gates. */
export class Harness {
  readonly time = new VirtualTime(mock.timers);

  readonly runners = new FakeRunners();

  readonly gates = new FakeGates(this.runners);

  readonly homes = new FakeHomes();

  readonly chooser = new FakeChooser();

  readonly daemons: Member[] = [memberOf('gate-daemon'), memberOf('entry-daemon')];

  readonly owner: RequestOwner;

  private readonly settings: RequestSettings;

  constructor(settings: Partial<RequestSettings> = {}) {
    this.settings = requestSettingsSchema.parse(settings);
    this.owner = this.newOwner();
  }

  /**
   * @param daemonId - the daemon of the owner.
   * @param peers - the link of that daemon to the others.
   * @returns An owner that uses the same gates.
   */
  newOwner(daemonId = 'entry-daemon', peers = undefined as unknown as PeerLink): RequestOwner {
    const options: RequestOwnerOptions = {
      gates: this.gates,
      homes: this.homes,
      fleet: new FakeFleet(daemonId, this.daemons),
      chooser: this.chooser,
      peers,
      tokens: new SignedTokens({ secrets: ['a secret of the whole fleet'] }),
      clock: this.time.clock,
      log: new SilentLog(),
      settings: this.settings,
    };
    return new RequestOwner(options);
  }

  /**
   * @param request - the request to run.
   * @returns The events of its answer.
   */
  readonly run = (request: CallerRequest): Promise<CallerEvent[]> =>
    this.time.until(collect(this.owner.run(request, NEVER_ABORTED)));

  /**
   * @param request - a non-idempotent request.
   * @returns The request with the binding that came with its refusal.
   */
  readonly bind = async (request: CallerRequest): Promise<CallerRequest> => {
    const [refusal] = await this.run(request);
    if (refusal?.kind !== 'failed' || !refusal.binding)
      throw new Error('expected a refusal with a binding');
    return { ...request, binding: refusal.binding.token };
  };

  /** Declares the daemon of the gates dead after a delay. */
  declareGateDaemonDead(afterMilliseconds: number): void {
    const declare = (): void => {
      this.daemons[0]!.state = 'dead';
    };
    setTimeout(declare, afterMilliseconds);
  }

  /** Stops the owner and restores the timers. */
  close(): void {
    this.owner.stop();
    mock.timers.reset();
  }
}

/**
 * @param test - the test, which gets a harness.
 * @param settings - settings that differ from the defaults.
 * @returns A test function that closes the harness at its end.
 */
export function withHarness(
  test: (harness: Harness) => Promise<void>,
  settings: Partial<RequestSettings> = {},
): () => Promise<void> {
  return async () => {
    const harness = new Harness(settings);
    try {
      await test(harness);
    } finally {
      harness.close();
    }
  };
}
