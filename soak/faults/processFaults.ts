/**
 * Troubles of daemons' processes, by signals.
 */
import type { FaultGround } from './Fault.js';
import { Fault } from './Fault.js';

const LOSS_OF_ALL_SHARE = 0.1;

const BETWEEN_MILLISECONDS = 200;

/** Planned stops and starts, one daemon after the other. */
export class RollingRestart extends Fault {
  private readonly first = this.draw.daemon();

  private readonly count = this.draw.between(1, Math.min(2, this.draw.daemons));

  private readonly downMilliseconds = this.draw.between(0, 500);

  override async play(ground: FaultGround): Promise<void> {
    const { daemons } = ground.site;
    for (let step = 0; step < this.count; step += 1) {
      const daemon = this.daemonOf(ground, (this.first + step) % daemons.length);
      await daemon.restart('SIGTERM', this.downMilliseconds);
    }
  }
}

/** One daemon is killed and starts again; at times all of them. */
export class Kill extends Fault {
  private readonly indexes: readonly number[] =
    this.draw.random() < LOSS_OF_ALL_SHARE
      ? Array.from({ length: this.draw.daemons }, (_, index) => index)
      : [this.draw.daemon()];

  private readonly downMilliseconds = this.draw.between(0, 1_500);

  override async play(ground: FaultGround): Promise<void> {
    const restart = (index: number) =>
      this.daemonOf(ground, index).restart('SIGKILL', this.downMilliseconds);
    await Promise.all(this.indexes.map(restart));
  }
}

/** A process stands still and goes on, some times in a row. */
export class Pause extends Fault {
  private readonly index = this.draw.daemon();

  private readonly times = this.draw.between(1, 3);

  private readonly milliseconds = this.draw.between(100, 2_500);

  override async play(ground: FaultGround): Promise<void> {
    const { index, times, milliseconds } = this;
    const { process } = this.daemonOf(ground, index);
    const text = `daemon-${index} stands still for ${milliseconds} ms`;
    for (let time = 0; time < times; time += 1) {
      await this.last(ground, { kind: 'pause', daemon: index, text }, milliseconds, {
        begin: () => process.signal('SIGSTOP'),
        end: () => process.signal('SIGCONT'),
      });
      // Between two pauses what has waited is done.
      await this.last(ground, { kind: 'pause', daemon: index, text }, BETWEEN_MILLISECONDS, {
        begin: () => undefined,
      });
    }
  }
}

/** Settings change and are read again. */
export class Reload extends Fault {
  private readonly index = this.draw.daemon();

  private readonly directoryLifeSeconds = this.draw.between(1, 3);

  override async play(ground: FaultGround): Promise<void> {
    const { index, directoryLifeSeconds } = this;
    const daemon = this.daemonOf(ground, index);
    // A process that has not loaded its program yet has no handler, and the signal ends it.
    if (!daemon.isUp) return;
    const { process } = daemon;
    const text = `daemon-${index} reads its settings again`;
    await this.last(ground, { kind: 'reload', daemon: index, text }, 0, {
      begin: () => {
        process.writeSettings({ router: { ...process.settings, directoryLifeSeconds } });
        process.signal('SIGHUP');
      },
    });
  }
}
