/**
 * Faults of the store.
 */
import type { IncomingMessage } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { seededRandom } from '../../src/random/seededRandom.js';
import { isWrite } from '../../standIns/site/StoreFaults.js';
import type { StoreFault } from '../../standIns/site/StoreFaults.js';
import { CONTACT_MILLISECONDS } from '../soakBounds.js';
import { ConfigurationSeries } from './ConfigurationSeries.js';
import type { FaultContext } from './Fault.js';
import { Fault } from './Fault.js';
import { LossOfAll } from './processFaults.js';
import { RunnerLeaves } from './runnerFaults.js';

const ALL_SHARE = 0.5;

const LONGEST_AGE_MILLISECONDS = 3_000;

/** Makes the store fail for all daemons, or for one of them. */
export class FailingStore extends Fault {
  private readonly fault: StoreFault = this.draw.one([
    'busy',
    'silent',
    'reset',
    'slow',
    'loses_answers',
  ]);

  private readonly index: number | undefined =
    this.draw.random() < ALL_SHARE ? undefined : this.draw.daemon();

  private readonly milliseconds = this.draw.between(500, 4_000);

  override async play(ground: FaultContext): Promise<void> {
    const { fault, index, milliseconds } = this;
    const { store } = ground.site.stand;
    const host = index === undefined ? undefined : this.daemonOf(ground, index).link.ownHost;
    const whom = index === undefined ? 'all daemons' : `daemon-${index}`;
    const record = { kind: 'store', text: `the store is ${fault} to ${whom}` } as const;
    await this.last(
      ground,
      index === undefined ? record : { ...record, daemon: index },
      milliseconds,
      {
        begin: () =>
          store.faultFor({
            fault,
            concerns: ({ socket }) => host === undefined || socket.remoteAddress === host,
          }),
        end: () => store.faultFor({ fault: 'none' }),
      },
    );
  }
}

/** Makes the store drop its history, so that daemons have to read everything again. */
export class DroppedHistory extends Fault {
  override async play(ground: FaultContext): Promise<void> {
    await this.last(ground, { kind: 'store', text: 'the store drops its history' }, 0, {
      begin: () => ground.site.stand.store.dropHistory(),
    });
  }
}

/** Makes the store fail for writes of all daemons, while it answers reads and watches. */
abstract class FailingWrites extends Fault {
  protected abstract readonly fault: StoreFault;

  /** Share of the writes that fail. */
  protected abstract readonly share: number;

  /** Begins the description for the report. */
  protected abstract readonly what: string;

  private readonly milliseconds = this.draw.between(1_000, 3_000);

  override async play(ground: FaultContext): Promise<void> {
    const { fault, share, what, milliseconds } = this;
    // A generator of its own, so that the faults drawn later do not depend on the number of calls.
    const random = seededRandom(milliseconds);
    let over: () => void = () => undefined;
    await this.last(ground, { kind: 'store', text: what }, milliseconds, {
      begin: () => {
        const concerns = (request: IncomingMessage) => isWrite(request) && random() < share;
        over = ground.site.stand.store.beginFault({ fault, concerns });
      },
      end: () => over(),
    });
  }
}

/** Makes the store refuse all writes. */
export class RefusedWrites extends FailingWrites {
  protected override readonly fault = 'busy';

  protected override readonly share = 1;

  protected override readonly what = 'the store refuses all writes of daemons';
}

/** Makes the store lose some writes: it takes them, executes nothing and never answers. */
export class LostWrites extends FailingWrites {
  protected override readonly fault = 'silent';

  protected override readonly share = this.draw.between(20, 100) / 100;

  protected override readonly what = `the store loses a share of ${this.share} of the writes of daemons`;
}

const HEARTBEAT_MILLISECONDS = 400;

/** Times from the restore of the store until its entries are written again, in ms. */
interface WriteTimes {
  readonly runnersMilliseconds: number;
  readonly operatorsMilliseconds: number;
}

/** Runners and operators write again what the store has lost. */
async function writeAgain(
  { site }: FaultContext,
  { runnersMilliseconds, operatorsMilliseconds }: WriteTimes,
): Promise<void> {
  const { store } = site.stand;
  const write = async (prefix: string, milliseconds: number) => {
    await wait(milliseconds);
    store.writeAgain(prefix);
  };
  await Promise.all([write('servers/', runnersMilliseconds), write('op/', operatorsMilliseconds)]);
}

/**
 * Stops the store for a moment and restores it from an older copy; runners and operators write the missing entries again.
 * When daemons are connected again, while revisions are still lower than before, a runner leaves and the configuration
 * changes.
 */
export class RestoredStore extends Fault {
  private readonly copyMilliseconds = this.draw.between(500, 4_000);

  private readonly awayMilliseconds = this.draw.between(100, 1_500);

  private readonly fault: StoreFault = this.draw.one(['reset', 'silent']);

  private readonly runnersMilliseconds = this.draw.between(100, 1_200);

  private readonly operatorsMilliseconds = this.draw.between(100, 1_000);

  private readonly leave = new RunnerLeaves(this.draw);

  private readonly changes = new ConfigurationSeries(this.draw);

  override async play(ground: FaultContext): Promise<void> {
    const { store } = ground.site.stand;
    const copy = store.copy();
    for (let passed = 0; passed < this.copyMilliseconds; passed += HEARTBEAT_MILLISECONDS) {
      for (const runner of ground.site.runners.values()) ground.site.list(runner);
      await wait(HEARTBEAT_MILLISECONDS);
    }
    const text = `the store comes back from a copy that is ${this.copyMilliseconds} ms old`;
    await this.last(ground, { kind: 'store', text }, this.awayMilliseconds, {
      begin: () => store.faultFor({ fault: this.fault }),
      end: () => {
        store.faultFor({ fault: 'none' });
        store.restore(copy);
      },
    });
    const { runnersMilliseconds, operatorsMilliseconds } = this;
    await writeAgain(ground, { runnersMilliseconds, operatorsMilliseconds });
    await wait(CONTACT_MILLISECONDS);
    await Promise.all([this.leave.play(ground), this.changes.play(ground)]);
  }
}

/** Ends all daemons at the same moment, and restores the store from an older copy before the first one starts again. */
export class LossBesideOlderCopy extends LossOfAll {
  protected override readonly downMilliseconds: number = this.draw.between(500, 1_500);

  /** Age of the copy when the daemons are lost. */
  readonly ageMilliseconds = this.draw.between(1_000, LONGEST_AGE_MILLISECONDS);

  private readonly restoredMilliseconds = this.draw.between(0, 400);

  private readonly runnersMilliseconds = this.draw.between(100, 1_200);

  private readonly operatorsMilliseconds = this.draw.between(100, 1_000);

  override async play(ground: FaultContext): Promise<void> {
    const { ageMilliseconds, runnersMilliseconds, operatorsMilliseconds } = this;
    const { stand, history, daemons } = ground.site;
    const copy = stand.store.copy();
    await wait(ageMilliseconds);
    const ended = Promise.all(daemons.map(({ process }) => process.ended()));
    const started = super.play(ground);
    await ended;
    await wait(this.restoredMilliseconds);
    const text = `the store comes back to dead daemons from a copy of ${ageMilliseconds} ms before their loss`;
    const over = history.begin({ kind: 'store', text });
    stand.store.restore(copy);
    await writeAgain(ground, { runnersMilliseconds, operatorsMilliseconds });
    over();
    await started;
  }
}
