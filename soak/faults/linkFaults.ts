/**
 * Faults of the link of one daemon.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { LINK_SIDES } from '../../standIns/link/linkTypes.js';
import type {
  LinkDirection,
  LinkPace,
  LinkSide,
  Severance,
} from '../../standIns/link/linkTypes.js';
import type { FaultContext } from './Fault.js';
import { Fault } from './Fault.js';

const SIDE_CHOICES: readonly (readonly LinkSide[])[] = [
  LINK_SIDES,
  ['runners'],
  ['callers'],
  ['store'],
];

const BYTES_PER_MEGABIT = 125_000;

/** Duration of silent connections, in ms; until then they are used, and requests on them time out. */
const SILENCE_NOTICED_MILLISECONDS = 6_000;

/**
 * Fills a link with traffic: data of runners and new connections are late although the runners are sound. Streams through
 * it have to be complete.
 */
export class FilledLink extends Fault {
  private readonly index = this.draw.daemon();

  private readonly milliseconds = this.draw.between(600, 1_300);

  private readonly streams = this.draw.between(4, 8);

  override async play(ground: FaultContext): Promise<void> {
    const { index, milliseconds, streams } = this;
    const daemon = this.daemonOf(ground, index);
    if (!daemon.isUp) return;
    const calls: Promise<unknown>[] = [];
    const begun = Array.from({ length: streams }, () => this.beginStream(ground, calls));
    await Promise.all(begun);
    const text = `the link of daemon-${index} is filled for ${milliseconds} ms, with ${streams} streams more`;
    const record = { kind: 'stall', daemon: index, sides: LINK_SIDES, text } as const;
    await this.last(ground, record, milliseconds, {
      begin: () => daemon.link.hold(milliseconds),
    });
    await Promise.all(calls);
  }

  /** Resolves when the first bytes of the stream have arrived, or it has ended without any. */
  private beginStream(ground: FaultContext, calls: Promise<unknown>[]): Promise<void> {
    const daemon = this.daemonOf(ground, this.index);
    return new Promise((done) => {
      const call = ground.callers.call(daemon, 'chat', '/chat/x', done);
      calls.push(call);
      void call.then(() => done());
    });
  }
}

/** Limits the bandwidth of a link or delays its traffic; a large configuration fills it. */
export class SlowLink extends Fault {
  private readonly index = this.draw.daemon();

  private readonly milliseconds = this.draw.between(500, 3_000);

  private readonly pace: LinkPace = {
    bytesPerSecond: this.draw.between(2, 12) * BYTES_PER_MEGABIT,
    delayMilliseconds: this.draw.one([0, 5, 40, 150]),
  };

  override async play(ground: FaultContext): Promise<void> {
    const { index, milliseconds, pace } = this;
    const { link } = this.daemonOf(ground, index);
    const text = `the link of daemon-${index} is slow, ${JSON.stringify(pace)}`;
    const record = { kind: 'stall', daemon: index, sides: LINK_SIDES, text } as const;
    const act = { begin: () => link.setPace(pace), end: () => link.setPace() };
    await this.last(ground, record, milliseconds, act);
  }
}

/** Resets the open connections, several times in a row. */
export class LinkReset extends Fault {
  private readonly index = this.draw.daemon();

  private readonly sides: readonly LinkSide[] = this.draw.one(SIDE_CHOICES);

  private readonly times = this.draw.between(1, 3);

  private readonly pauseMilliseconds = this.draw.between(100, 800);

  override async play(ground: FaultContext): Promise<void> {
    const { index, sides, times, pauseMilliseconds } = this;
    const { link } = this.daemonOf(ground, index);
    const text = `connections of daemon-${index} are reset: ${sides.join(', ')}`;
    for (let time = 0; time < times; time += 1) {
      const record = { kind: 'break', daemon: index, sides, text } as const;
      // Both ends notice when the thread of the link has done it.
      await this.last(ground, record, pauseMilliseconds, { begin: () => link.reset(sides) });
    }
  }
}

/** Silences the open connections without closing them; new ones work. */
export class SilencedLink extends Fault {
  private readonly index = this.draw.daemon();

  private readonly sides: readonly LinkSide[] = this.draw.one(SIDE_CHOICES);

  override async play(ground: FaultContext): Promise<void> {
    const { index, sides } = this;
    const { link } = this.daemonOf(ground, index);
    const text = `open connections of daemon-${index} go silent: ${sides.join(', ')}`;
    const record = { kind: 'silence', daemon: index, sides, text } as const;
    await this.last(ground, record, SILENCE_NOTICED_MILLISECONDS, {
      begin: () => link.silence(sides),
    });
  }
}

/** Holds back all traffic in one direction for a while, and delivers it afterwards. */
export class OneWayCut extends Fault {
  private readonly index = this.draw.daemon();

  private readonly sides: readonly LinkSide[] = this.draw.one(SIDE_CHOICES);

  private readonly direction: LinkDirection = this.draw.one(['in', 'out']);

  private readonly milliseconds = this.draw.between(300, 3_000);

  override async play(ground: FaultContext): Promise<void> {
    const { index, sides, direction, milliseconds } = this;
    const { link } = this.daemonOf(ground, index);
    const text = `the link of daemon-${index} is cut, ${direction}: ${sides.join(', ')}`;
    const record = { kind: 'cut', daemon: index, sides, text } as const;
    const act = { begin: () => link.cut(sides, direction), end: () => link.mend() };
    await this.last(ground, record, milliseconds, act);
  }
}

/** Cuts daemons off from all runners; callers, the store and the other daemons still reach them. */
export class LostPath extends Fault {
  private readonly first = this.draw.daemon();

  private readonly count = this.draw.between(1, this.draw.daemons - 1);

  private readonly how: Severance = this.draw.one(['hang', 'reset', 'refuse']);

  private readonly milliseconds = this.draw.between(4_500, 7_000);

  override async play(ground: FaultContext): Promise<void> {
    const { how, milliseconds } = this;
    const { history } = ground.site;
    const cut = Array.from({ length: this.count }, (_, offset) =>
      this.daemonOf(ground, (this.first + offset) % this.draw.daemons),
    );
    const ends = cut.map(({ index }) => {
      const text = `daemon-${index} loses its path to all runners, connections ${how}`;
      return history.begin({ kind: 'path', daemon: index, text });
    });
    for (const { link } of cut) link.sever('runners', how);
    await wait(milliseconds);
    for (const { link } of cut) link.rejoin('runners');
    for (const end of ends) end();
  }
}
