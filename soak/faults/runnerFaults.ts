/**
 * Troubles of runners, and their planned leaving.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { RunnerBehaviour } from '../../standIns/site/SiteRunner.js';
import type { SoakService } from '../SoakSite.js';
import { CHANGE_BOUND_MILLISECONDS, TIMEOUT_MILLISECONDS } from '../soakBounds.js';
import type { FaultGround } from './Fault.js';
import { Fault } from './Fault.js';

const SERVICES: readonly SoakService[] = ['plain', 'engine'];

/** A runner's entry is found to be wrong this much later, in ms. */
const UNLISTED_AFTER_MILLISECONDS = 3_000;

/** A runner that misbehaves for a while. */
export class FailingRunner extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  private readonly behaviour: RunnerBehaviour = this.draw.one([
    'refuses',
    'loses_answer',
    'cuts_stream',
    'cuts_plain',
    'fails',
  ]);

  private readonly milliseconds = this.draw.between(300, 2_000);

  override async play(ground: FaultGround): Promise<void> {
    const { behaviour, milliseconds } = this;
    const runner = ground.site.spareRunner(this.service, this.choice);
    if (!runner) return;
    const record = {
      kind: 'runner',
      runner: runner.id,
      text: `${runner.id} ${behaviour}`,
    } as const;
    const over = ground.site.history.begin(record);
    runner.behaviour = behaviour;
    await wait(milliseconds);
    runner.behaviour = 'answers';
    // A stream that began meanwhile is cut later.
    await wait(TIMEOUT_MILLISECONDS);
    over();
  }
}

/** A runner ends without a word; its entry stays for a while, and another one comes. */
export class RunnerCrash extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  override async play(ground: FaultGround): Promise<void> {
    const { site } = ground;
    const runner = site.spareRunner(this.service, this.choice);
    if (!runner) return;
    const record = { kind: 'runner', runner: runner.id, text: `${runner.id} crashes` } as const;
    await this.last(ground, record, UNLISTED_AFTER_MILLISECONDS, {
      begin: () => site.endRunner(runner),
      end: () => site.unlist(runner),
    });
    await site.addRunner(this.service);
  }
}

/** A runner starts again under its id, and knows nothing. */
export class RunnerRestart extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  override async play(ground: FaultGround): Promise<void> {
    const { site } = ground;
    const runner = site.spareRunner(this.service, this.choice);
    if (!runner) return;
    const text = `${runner.id} starts again`;
    await this.last(ground, { kind: 'runner', runner: runner.id, text }, 0, {
      begin: () => {
        runner.restart();
        site.list(runner);
      },
    });
  }
}

/** A runner drains, or is just unlisted, serves on for the bound, and ends when it is idle. */
export class RunnerLeaves extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  private readonly saysSo = this.draw.random() < 0.5;

  override async play(ground: FaultGround): Promise<void> {
    const { site, drains } = ground;
    await site.addRunner(this.service);
    const runner = site.spareRunner(this.service, this.choice);
    if (!runner) return;
    site.runners.delete(runner.id);
    if (this.saysSo) site.list(runner, 'draining');
    else site.unlist(runner);
    drains.leaves(runner.id);
    await wait(CHANGE_BOUND_MILLISECONDS + TIMEOUT_MILLISECONDS);
    const text = `${runner.id} left ${this.saysSo ? 'by draining' : 'without saying so'}, and ends`;
    await this.last(ground, { kind: 'runner', runner: runner.id, text }, 0, {
      begin: () => {
        site.unlist(runner);
        site.endRunner(runner);
      },
    });
  }
}
