/**
 * Troubles of the store.
 */
import type { StoreFault } from '../../standIns/site/StoreStandIn.js';
import type { FaultGround } from './Fault.js';
import { Fault } from './Fault.js';

const ALL_SHARE = 0.5;

/** The store fails all daemons, or one of them. */
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

  override async play(ground: FaultGround): Promise<void> {
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

/** The store forgets what has changed: who follows it has to read everything again. */
export class DroppedHistory extends Fault {
  override async play(ground: FaultGround): Promise<void> {
    await this.last(ground, { kind: 'store', text: 'the store drops its history' }, 0, {
      begin: () => ground.site.stand.store.dropHistory(),
    });
  }
}
