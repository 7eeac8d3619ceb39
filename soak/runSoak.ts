/**
 * One soak: runs a fleet of processes under load, injects faults from a seed, and checks the promises.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { seededRandom } from '../src/random/seededRandom.js';
import { AnswerChecks } from './checks/AnswerChecks.js';
import { brokenAttemptsIn } from './checks/brokenAttempts.js';
import { ConfigurationChecks } from './checks/ConfigurationChecks.js';
import { Contact } from './checks/Contact.js';
import { DrainChecks } from './checks/DrainChecks.js';
import { Excuses } from './checks/Excuses.js';
import { PathChecks } from './checks/PathChecks.js';
import { checkRecovery } from './checks/recovery.js';
import { StatementChecks } from './checks/StatementChecks.js';
import { VersionChecks } from './checks/VersionChecks.js';
import { Violations } from './checks/Violations.js';
import { Draw } from './faults/Fault.js';
import { planFaults, planLosses } from './faults/faultPlan.js';
import type { PlannedFault } from './faults/faultPlan.js';
import { SoakCallers } from './SoakCallers.js';
import type { Call } from './SoakCallers.js';
import { SoakSite } from './SoakSite.js';

/** Options of {@link runSoak}. */
export interface SoakOptions {
  seed: number;
  /** Duration in which faults start. */
  seconds: number;
  /** Arguments of the Node.js runtime: its options and the built daemon. */
  program: readonly string[];
  daemons?: number;
  runnersOfService?: number;
  /** Requests per second. */
  rate?: number;
  /** Whether all daemons are lost at the same moment, see `planLosses`; their callers come back more than once. */
  losesAll?: boolean;
  /** Creates the plan of faults; by default, it is drawn from the seed. */
  plan?: (draw: Draw, seconds: number) => PlannedFault[];
}

/** Result of a soak. */
export interface SoakResult {
  readonly site: SoakSite;
  readonly violations: Violations;
}

function createChecks(site: SoakSite) {
  const { history, runs, daemons } = site;
  const violations = new Violations();
  const excuses = new Excuses({ history, runs, daemons });
  const contact = new Contact(history, daemons);
  const brokenAttempts = () => brokenAttemptsIn(daemons);
  const answers = new AnswerChecks({ runs, excuses, violations, brokenAttempts });
  const drains = new DrainChecks({ runs, contact, violations, calls: answers.calls });
  const { calls } = answers;
  const statements = new StatementChecks({ runs, history, contact, violations, calls });
  const configurations = new ConfigurationChecks({ site, contact, violations });
  const paths = new PathChecks({ history, contact, violations, calls, daemons: daemons.length });
  const versions = new VersionChecks({
    contact,
    violations,
    calls,
    engines: () => site.runnersOf('engine'),
  });
  return { violations, answers, drains, statements, configurations, paths, versions };
}

async function play(plan: readonly PlannedFault[], start: (one: PlannedFault) => Promise<void>) {
  const startOne = async (one: PlannedFault) => {
    await wait(one.at);
    await start(one);
  };
  await Promise.all(plan.map(startOne));
}

async function soak(site: SoakSite, options: SoakOptions): Promise<Violations> {
  const { seed, seconds, rate = 40, losesAll = false } = options;
  const { plan = losesAll ? planLosses : planFaults } = options;
  const { daemons } = site;
  const checks = createChecks(site);
  const { violations, answers, drains, statements, configurations, paths, versions } = checks;
  const planned = plan(new Draw(seededRandom(seed), daemons.length), seconds);
  const random = seededRandom(seed + 1);
  const onEnd = (call: Call) => {
    answers.checkAnswer(call);
    versions.checkAnswer(call);
  };
  const callers = new SoakCallers({ daemons, random, rate, onEnd, comesBack: losesAll });
  await callers.start();
  configurations.start(callers);
  await play(planned, ({ fault }) => fault.play({ site, callers, drains, violations }));
  await checkRecovery(daemons, callers, violations);
  configurations.stop();
  await callers.stop();
  answers.checkRuns();
  drains.checkAll();
  statements.checkAll();
  paths.checkAll();
  versions.checkAll();
  for (const complaint of daemons.flatMap(({ complaints }) => complaints)) {
    violations.check('processes go on', false, () => complaint);
  }
  return violations;
}

/**
 * @param options - seed, duration and sizes.
 * @returns The violations that were found, when everything that was started has ended.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { program, daemons = 4, runnersOfService = 4 } = options;
  const folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
  const site = new SoakSite({ daemons, runnersOfService, folder, program });
  try {
    await site.start();
    return { site, violations: await soak(site, options) };
  } finally {
    await site.stop();
    rmSync(folder, { recursive: true });
  }
}
