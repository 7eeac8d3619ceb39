/**
 * Faults of the processes of daemons, caused by signals.
 */
import type { SoakDaemon } from '../SoakDaemon.js';
import type { FaultContext } from './Fault.js';
import { Fault } from './Fault.js';

const LOSS_OF_ALL_SHARE = 0.1;

const BETWEEN_MILLISECONDS = 200;

/** Stops and starts one daemon after the other, as planned work. */
export class RollingRestart extends Fault {
  private readonly first = this.draw.daemon();

  private readonly count = this.draw.between(1, Math.min(2, this.draw.daemons));

  private readonly downMilliseconds = this.draw.between(0, 500);

  override async play(ground: FaultContext): Promise<void> {
    const { daemons } = ground.site;
    for (let step = 0; step < this.count; step += 1) {
      const daemon = this.daemonOf(ground, (this.first + step) % daemons.length);
      await daemon.restart('SIGTERM', this.downMilliseconds);
    }
  }
}

/** Kills one daemon, or sometimes all of them, and starts them again. */
export class Kill extends Fault {
  private readonly indexes: readonly number[] =
    this.draw.random() < LOSS_OF_ALL_SHARE
      ? Array.from({ length: this.draw.daemons }, (_, index) => index)
      : [this.draw.daemon()];

  private readonly downMilliseconds = this.draw.between(0, 1_500);

  override async play(ground: FaultContext): Promise<void> {
    const restart = (index: number) =>
      this.daemonOf(ground, index).restart('SIGKILL', this.downMilliseconds);
    await Promise.all(this.indexes.map(restart));
  }
}

/** Ends all daemons at the same moment, by a kill or a loss of power, and starts them again. */
export class LossOfAll extends Fault {
  protected readonly silentMilliseconds: number = this.draw.one([0, this.draw.between(300, 1_500)]);

  protected readonly downMilliseconds: number = this.draw.between(0, 1_000);

  override async play({ site }: FaultContext): Promise<void> {
    const { silentMilliseconds, downMilliseconds } = this;
    const lose = (daemon: SoakDaemon) =>
      daemon.restart('SIGKILL', downMilliseconds, silentMilliseconds);
    await Promise.all(site.daemons.map(lose));
  }
}

/** Suspends a process and resumes it, several times in a row. */
export class Pause extends Fault {
  private readonly index = this.draw.daemon();

  private readonly times = this.draw.between(1, 3);

  private readonly milliseconds = this.draw.between(100, 2_500);

  override async play(ground: FaultContext): Promise<void> {
    const { index, times, milliseconds } = this;
    const { process } = this.daemonOf(ground, index);
    const text = `daemon-${index} stands still for ${milliseconds} ms`;
    for (let time = 0; time < times; time += 1) {
      await this.last(ground, { kind: 'pause', daemon: index, text }, milliseconds, {
        begin: () => process.signal('SIGSTOP'),
        end: () => process.signal('SIGCONT'),
      });
      // Between two pauses, the process handles the requests that have waited.
      await this.last(ground, { kind: 'pause', daemon: index, text }, BETWEEN_MILLISECONDS, {
        begin: () => undefined,
      });
    }
  }
}

/** Changes the settings of a daemon and has it read them again. */
export class Reload extends Fault {
  private readonly index = this.draw.daemon();

  private readonly directoryLifeSeconds = this.draw.between(1, 3);

  override async play(ground: FaultContext): Promise<void> {
    const { index, directoryLifeSeconds } = this;
    const daemon = this.daemonOf(ground, index);
    // Until the program is loaded, there is no handler, and the signal would end the process.
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
