/**
 * Faults of runners, and their planned leaving.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { seededRandom } from '../../src/random/seededRandom.js';
import type { SiteRunner } from '../../standIns/site/SiteRunner.js';
import type { RunnerBehaviour } from '../../standIns/site/siteRunnerTypes.js';
import type { SoakCallers } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import type { SoakService } from '../SoakSite.js';
import {
  CHANGE_BOUND_MILLISECONDS,
  FATAL_BODY,
  FATAL_PART,
  TIMEOUT_MILLISECONDS,
} from '../soakBounds.js';
import type { FaultContext } from './Fault.js';
import { Draw, Fault } from './Fault.js';

const SERVICES: readonly SoakService[] = ['plain', 'engine'];

/** Time until the entry of a crashed runner is removed, in ms. */
const UNLISTED_AFTER_MILLISECONDS = 3_000;

/** Faulty behaviours of the runners of each service. */
const BEHAVIOURS: Readonly<Record<SoakService, readonly RunnerBehaviour[]>> = {
  plain: ['loses_answer', 'cuts_plain', 'refuses', 'fails'],
  engine: ['cuts_stream', 'loses_answer', 'refuses', 'ends_stream_early'],
};

async function misbehave(
  { site }: FaultContext,
  runner: SiteRunner,
  behaviour: RunnerBehaviour,
  milliseconds: number,
): Promise<void> {
  const text = `${runner.id} ${behaviour} for ${milliseconds} ms`;
  const over = site.history.begin({ kind: 'runner', runner: runner.id, text });
  Object.assign(runner, { behaviour });
  await wait(milliseconds);
  Object.assign(runner, { behaviour: 'answers' });
  // A stream that began during the fault is cut later.
  await wait(TIMEOUT_MILLISECONDS);
  over();
}

/** Makes a runner misbehave for a while. */
export class FailingRunner extends Fault {
  private readonly service = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  private readonly behaviour = this.draw.one(BEHAVIOURS[this.service]);

  private readonly milliseconds = this.draw.between(300, 2_000);

  override async play(ground: FaultContext): Promise<void> {
    const runner = ground.site.spareRunner(this.service, this.choice);
    if (runner) await misbehave(ground, runner, this.behaviour, this.milliseconds);
  }
}

/** Makes all runners lose their answers for a moment, after running the requests; what may run once must not be repeated. */
export class LostAnswers extends Fault {
  private readonly milliseconds = this.draw.between(300, 600);

  override async play(ground: FaultContext): Promise<void> {
    const runners = [...ground.site.runners.values()];
    const lose = (runner: SiteRunner) =>
      misbehave(ground, runner, 'loses_answer', this.milliseconds);
    await Promise.all(runners.map(lose));
  }
}

/** Ends a runner without notice; its entry stays for a while, and another runner starts. */
export class RunnerCrash extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  override async play(ground: FaultContext): Promise<void> {
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

/** Restarts a runner under its id, without state and at the other software version. */
export class RunnerRestart extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  override async play(ground: FaultContext): Promise<void> {
    const { site } = ground;
    const runner = site.spareRunner(this.service, this.choice);
    if (!runner) return;
    const text = `${runner.id} starts again`;
    await this.last(ground, { kind: 'runner', runner: runner.id, text }, 0, {
      begin: () => {
        runner.version = site.otherVersion(runner.version);
        runner.restart();
        site.list(runner);
      },
    });
  }
}

/** Additional runners, so that streams can be resumed in spite of the crashes before a request is quarantined. */
const RUNNERS_BESIDE_FATAL = 4;

/** Sends requests that crash each runner that runs them, to all daemons in turn. */
abstract class FatalRequests extends Fault {
  protected abstract readonly repeats: number;

  /** Time from one request to the next, in ms. */
  protected abstract readonly pause: number;

  /** Sends the next request. */
  protected abstract send(callers: SoakCallers, daemon: SoakDaemon): Promise<unknown>;

  override async play({ site, callers }: FaultContext): Promise<void> {
    for (let added = 0; added < RUNNERS_BESIDE_FATAL; added += 1) await site.addRunner('engine');
    await wait(CHANGE_BOUND_MILLISECONDS);
    const calls: Promise<unknown>[] = [];
    for (let sent = 0; sent < this.repeats; sent += 1) {
      const running = site.daemons.filter(({ isUp }) => isUp);
      const daemon = running[sent % running.length];
      if (daemon) calls.push(this.send(callers, daemon));
      await wait(this.pause);
    }
    await Promise.all(calls);
  }
}

/** Sends the same fatal request again and again. */
export class FatalRequest extends FatalRequests {
  protected override readonly repeats = this.draw.between(8, 30);

  protected override readonly pause = this.draw.between(50, 300);

  private readonly body = `${FATAL_BODY} ${this.draw.random()}`;

  protected override send(callers: SoakCallers, daemon: SoakDaemon): Promise<unknown> {
    return callers.call(daemon, 'story', undefined, undefined, { body: this.body });
  }
}

/** Sends different requests with the same fatal part in their prompts. */
export class FatalPart extends FatalRequests {
  protected override readonly repeats = this.draw.between(20, 50);

  protected override readonly pause = this.draw.between(80, 400);

  private readonly kind = this.draw.one(['chat', 'story'] as const);

  private readonly part = `${FATAL_PART}${this.draw.between(1, 1e9).toString(16)}`;

  protected override send(callers: SoakCallers, daemon: SoakDaemon): Promise<unknown> {
    return callers.call(daemon, this.kind, undefined, undefined, { part: this.part });
  }
}

/** A runner announces in its answers that it leaves, while the store lists it as before; it ends when it is idle. */
export class RunnerSaysItLeaves extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  override async play(ground: FaultContext): Promise<void> {
    const { site } = ground;
    await site.addRunner(this.service);
    const runner = site.spareRunner(this.service, this.choice);
    if (!runner) return;
    site.runners.delete(runner.id);
    runner.saysLeaving = true;
    await wait(CHANGE_BOUND_MILLISECONDS + TIMEOUT_MILLISECONDS);
    const text = `${runner.id} has said that it leaves, and ends`;
    await this.last(ground, { kind: 'runner', runner: runner.id, text }, 0, {
      begin: () => {
        site.unlist(runner);
        site.endRunner(runner);
      },
    });
  }
}

/** Evacuates a data centre, waits until no new request may arrive there, and ends the evacuation. */
export class EvacuatedPlace extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly milliseconds = this.draw.between(500, 4_000);

  override async play(ground: FaultContext): Promise<void> {
    const { site, drains } = ground;
    const dataCentre = `annex-of-${this.service}-${this.milliseconds}`;
    const runners = [
      await site.addRunner(this.service, dataCentre),
      await site.addRunner(this.service, dataCentre),
    ];
    const order = `op/evacuate/${dataCentre}`;
    const text = `${dataCentre} is evacuated`;
    const length = CHANGE_BOUND_MILLISECONDS + this.milliseconds;
    await this.last(ground, { kind: 'runner', runner: '', text }, length, {
      begin: () => {
        site.stand.store.write(order, {});
        for (const { id } of runners) drains.leaves(id);
      },
      end: () => {
        for (const { id } of runners) drains.returns(id);
        site.stand.store.write(order, undefined);
      },
    });
  }
}

async function leave(
  { site, drains }: FaultContext,
  runner: SiteRunner,
  saysSo: boolean,
): Promise<void> {
  const { id } = runner;
  site.runners.delete(id);
  if (saysSo) site.list(runner, 'draining');
  else site.unlist(runner);
  drains.leaves(id);
  await wait(CHANGE_BOUND_MILLISECONDS + TIMEOUT_MILLISECONDS);
  const text = `${id} left ${saysSo ? 'by draining' : 'without saying so'}, and ends`;
  const over = site.history.begin({ kind: 'runner', runner: id, text });
  site.unlist(runner);
  site.endRunner(runner);
  over();
}

/** A runner drains, or its entry is removed; it continues to serve for the bound, and ends when it is idle. */
export class RunnerLeaves extends Fault {
  private readonly service: SoakService = this.draw.one(SERVICES);

  private readonly choice = this.draw.random();

  private readonly saysSo = this.draw.random() < 0.5;

  override async play(ground: FaultContext): Promise<void> {
    const { site } = ground;
    await site.addRunner(this.service);
    const runner = site.spareRunner(this.service, this.choice);
    if (runner) await leave(ground, runner, this.saysSo);
  }
}

/** A newer software version replaces the older one of two; all model runners of the older one leave. */
export class SoftwareSuccession extends Fault {
  private readonly besideMilliseconds = this.draw.between(0, 1_500);

  private readonly saysSo = this.draw.random() < 0.5;

  override async play(ground: FaultContext): Promise<void> {
    const { site } = ground;
    const leaving = site.replaceOlderVersion();
    for (const { version } of leaving) {
      const { version: newer } = await site.addRunner('engine');
      const text = `a model runner of ${newer} starts for one of ${version}`;
      site.history.begin({ kind: 'configuration', text })();
    }
    await wait(this.besideMilliseconds);
    const still = leaving.filter(({ id }) => site.runners.has(id));
    await Promise.all(still.map((runner) => leave(ground, runner, this.saysSo)));
  }
}

/** Time from the announcement that plain runners are brittle until they limit their queues, in ms. */
const BRITTLE_NOTICE_MILLISECONDS = 3_000;

const BRITTLE = { limit: 3, waiting: 2 };

/** Mean time between two requests of the load spike, in ms. */
const SURGE_GAP_MILLISECONDS = 10 / 3;

/** Makes plain runners crash when they reject more than a few requests per second, and sends them a load spike. */
export class BrittleRunnersInSurge extends Fault {
  private readonly milliseconds = this.draw.between(1_000, 2_500);

  override async play(ground: FaultContext): Promise<void> {
    const { site, violations } = ground;
    const text = `plain runners are brittle, with a surge of ${this.milliseconds} ms`;
    const over = site.history.begin({ kind: 'runner', runner: '', text });
    site.makePlainRunnersBrittle(BRITTLE);
    await wait(BRITTLE_NOTICE_MILLISECONDS);
    const runners = site.makePlainRunnersBrittle(BRITTLE);
    const crashes = () => runners.reduce((sum, runner) => sum + runner.crashes, 0);
    const before = crashes();
    await this.surge(ground);
    const allowed = 2 + runners.length / 10;
    const fallen = crashes() - before;
    const told = () => `${fallen} of ${runners.length} brittle runners crashed`;
    violations.check('brittle runners stay up', fallen <= allowed, told);
    site.makePlainRunnersBrittle(undefined);
    over();
  }

  /**
   * Requests start at independent times, at random daemons. If several started at the same moment, those at daemons with a
   * path would always be the first to reach the runners, and get all free slots.
   */
  private async surge(ground: FaultContext): Promise<void> {
    const { site, callers } = ground;
    const calls: Promise<unknown>[] = [];
    const startedAt = performance.now();
    // A generator of its own, so that the faults drawn later do not depend on the number of requests.
    const draw = new Draw(seededRandom(this.milliseconds), site.daemons.length);
    for (let at = 0; at < this.milliseconds; at += draw.gap(SURGE_GAP_MILLISECONDS)) {
      await wait(startedAt + at - performance.now());
      calls.push(callers.call(this.daemonOf(ground, draw.daemon()), 'read'));
    }
    await Promise.all(calls);
  }
}
