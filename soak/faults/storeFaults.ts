/**
 * Faults of the store.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { StoreFault } from '../../standIns/site/StoreFaults.js';
import { CONTACT_MILLISECONDS } from '../soakBounds.js';
import { ConfigurationSeries } from './ConfigurationSeries.js';
import type { FaultContext } from './Fault.js';
import { Fault } from './Fault.js';
import { RunnerLeaves } from './runnerFaults.js';

const ALL_SHARE = 0.5;

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

const HEARTBEAT_MILLISECONDS = 400;

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
    const writeAgain = async (prefix: string, milliseconds: number) => {
      await wait(milliseconds);
      store.writeAgain(prefix);
    };
    await Promise.all([
      writeAgain('servers/', this.runnersMilliseconds),
      writeAgain('op/', this.operatorsMilliseconds),
    ]);
    await wait(CONTACT_MILLISECONDS);
    await Promise.all([this.leave.play(ground), this.changes.play(ground)]);
  }
}
