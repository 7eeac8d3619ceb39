import { describe, it } from 'node:test';

import { expect } from 'earl';

import { seededRandom } from '../random/seededRandom.js';
import type { ChoiceQuestion } from './RunnerChoice.js';
import { ColdStarts } from './ColdStarts.js';
import { RunnerAdmission } from './RunnerAdmission.js';
import { RunnerChoice } from './RunnerChoice.js';
import { RunnerTable } from './RunnerTable.js';
import { WarmPlaces } from './WarmPlaces.js';

/** Requests that one daemon may have at a runner; not reached in these tests. */
const CONNECTION_LIMIT = 48;

function tableOf(count: number, dataCentre = 'here'): RunnerTable {
  const table = new RunnerTable();
  for (let index = 0; index < count; index += 1) {
    const place = { host: '127.0.0.1', port: 9_000 + index, dataCentre };
    const id = `runner-${index}`;
    table.put({ id, life: id, service: 'chat', state: 'ready', ...place });
  }
  return table;
}

function questionOf(sharedParts: readonly string[], now = 0): ChoiceQuestion {
  const tried = new Set<string>();
  return { service: 'chat', sharedParts, tried, connectionLimit: CONNECTION_LIMIT, now };
}

/** A fleet of daemons with their requests in flight at each runner. */
class Fleet {
  readonly choices: RunnerChoice[];

  readonly tables: RunnerTable[];

  /** The loads that all daemons reported last, summed up by runner. */
  private told = new Map<string, number>();

  constructor(daemons: number, runners: number, tellsLoads: boolean) {
    this.tables = Array.from({ length: daemons }, () => tableOf(runners));
    this.choices = this.tables.map(
      (table, index) =>
        new RunnerChoice({
          runners: table,
          dataCentre: 'here',
          warmPlaces: new WarmPlaces(),
          random: seededRandom(index + 1),
          foreignLoad: (id) =>
            tellsLoads ? (this.told.get(id) ?? 0) - (this.toldBy(index).get(id) ?? 0) : 0,
        }),
    );
  }

  private readonly ownTold: Map<string, number>[] = [];

  private toldBy(index: number): Map<string, number> {
    return this.ownTold[index] ?? new Map<string, number>();
  }

  reportLoads(): void {
    this.told = new Map();
    for (const [index, table] of this.tables.entries()) {
      const own = new Map(table.list().map(({ entry, inFlight }) => [entry.id, inFlight]));
      this.ownTold[index] = own;
      for (const [id, count] of own) this.told.set(id, (this.told.get(id) ?? 0) + count);
    }
  }

  inFlightAt(id: string): number {
    return this.tables.reduce((sum, table) => sum + (table.get(id)?.inFlight ?? 0), 0);
  }

  mean(): number {
    const ids = this.tables[0]?.list().map(({ entry }) => entry.id) ?? [];
    return ids.reduce((sum, id) => sum + this.inFlightAt(id), 0) / ids.length;
  }
}

/**
 * Simulates ten seconds of a site where a third of the requests share one prompt.
 *
 * @param tellsLoads - whether daemons report their loads to each other.
 * @returns Share of the requests that reached a runner with more than twice the mean load plus three requests.
 */
function shareAboveLimit(tellsLoads: boolean): number {
  const random = seededRandom(7);
  const fleet = new Fleet(6, 13, tellsLoads);
  const endings: { at: number; end: () => void }[] = [];
  let above = 0;
  let sent = 0;
  for (let now = 0; now < 10_000; now += 10) {
    for (const ending of endings.filter(({ at }) => at <= now)) ending.end();
    endings.splice(0, endings.length, ...endings.filter(({ at }) => at > now));
    if (now % 100 === 0) fleet.reportLoads();
    const daemon = Math.floor(random() * 6);
    const part = random() < 0.33 ? 'hot' : `part-${Math.floor(random() * 200)}`;
    const runner = fleet.choices[daemon]?.choose(questionOf([part], now))?.runner;
    if (!runner) continue;
    if (fleet.inFlightAt(runner.entry.id) > 2 * fleet.mean() + 3) above += 1;
    sent += 1;
    runner.inFlight += 1;
    const end = () => {
      runner.inFlight -= 1;
    };
    endings.push({ at: now + 100 + random() * 600, end });
  }
  return above / sent;
}

describe('RunnerChoice', () => {
  it('keeps a hot prompt from overloading its runner when daemons report their loads to each other', () => {
    // Guards against one runner with three times the mean load. A third of all requests share one prompt, and each of
    // six daemons has a few of them there, which is within a bound on its own count.
    expect(shareAboveLimit(true)).toBeLessThan(0.03);
    expect(shareAboveLimit(false)).toBeGreaterThan(0.03);
  });

  it('leaves a prompt where it is when a runner joins', () => {
    // Guards against prompts that are read again after each scale-out: if the place of a prompt follows from the list
    // of runners alone, hashing moves some prompts to a runner that joins.
    const runners = tableOf(8);
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const parts = Array.from({ length: 100 }, (_, index) => `part-${index}`);
    const placeOf = (part: string) => choice.choose(questionOf([part]))?.runner.entry.id;
    const before = parts.map(placeOf);
    const place = { host: '127.0.0.1', port: 9_100, dataCentre: 'here' };
    runners.put({
      id: 'runner-new',
      life: 'runner-new',
      service: 'chat',
      state: 'ready',
      ...place,
    });
    expect(parts.map(placeOf)).toEqual(before);
  });

  it('forgets what was cached at a runner that was gone and is back', () => {
    // Guards against chats that go to a runner which has to read their prompts again although another one has them
    // cached. A runner crashes, its entry disappears and comes back under the same id before the prompt is requested
    // again; its places were dropped only with the next request for the prompt.
    const warmPlaces = new WarmPlaces();
    warmPlaces.remember('part', 'runner-1');
    warmPlaces.remember('part', 'runner-2');
    warmPlaces.forgetRunner('runner-1');
    const choice = new RunnerChoice({ runners: tableOf(8), dataCentre: 'here', warmPlaces });
    const chosen = choice.choose(questionOf(['part']));
    expect([chosen?.runner.entry.id, chosen?.reason]).toEqual(['runner-2', 'warm']);
  });

  it('chooses the same first place in every daemon', () => {
    const places = [1, 2, 3].map((seed) => {
      const options = { runners: tableOf(8), warmPlaces: new WarmPlaces() };
      const choice = new RunnerChoice({
        ...options,
        dataCentre: `centre-${seed}`,
        random: seededRandom(seed),
      });
      return choice.choose(questionOf(['outer', 'inner']))?.runner.entry.id;
    });
    expect(new Set(places).size).toEqual(1);
  });

  it('prefers a runner of its own data centre when no prompt is cached', () => {
    const runners = tableOf(3, 'far');
    const place = { host: '127.0.0.1', port: 9_100, dataCentre: 'here' };
    runners.put({
      id: 'runner-near',
      life: 'runner-near',
      service: 'chat',
      state: 'ready',
      ...place,
    });
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    expect(choice.choose(questionOf([]))?.runner.entry.id).toEqual('runner-near');
  });

  it('copies a cached prompt from a draining runner', () => {
    // Guards against prompts that are read again for minutes after each release: a draining runner's prompts go to
    // other runners, which read what the draining runner still has cached.
    const runners = tableOf(4);
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const question = questionOf(['outer', 'inner']);
    const first = choice.choose(question)?.runner;
    if (!first) throw new Error('no runner was chosen');
    runners.put({ ...first.entry, state: 'draining' });
    const second = choice.choose(question);
    expect(second?.runner === first).toEqual(false);
    expect(second?.cacheSource?.entry.id).toEqual(first.entry.id);
    expect(choice.choose(question)?.cacheSource).toEqual(undefined);
  });

  it('copies the outer part alone when no runner has more', () => {
    const runners = tableOf(8);
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const first = choice.choose(questionOf(['outer', 'inner-0']))?.runner;
    const others = Array.from({ length: 20 }, (_, index) =>
      choice.choose(questionOf(['outer', `inner-${index + 1}`])),
    ).filter((other) => other?.runner !== first);
    expect(others[0]?.cacheSource?.entry.id).toEqual(first?.entry.id);
  });

  it('does not send to draining runners, nor to one that had the request', () => {
    const runners = tableOf(2);
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const first = runners.get('runner-0');
    if (!first) throw new Error('the table lost its runner');
    runners.put({ ...first.entry, state: 'draining' });
    expect(choice.choose(questionOf(['a']))?.runner.entry.id).toEqual('runner-1');
    const tried = new Set(['runner-1']);
    expect(choice.choose({ ...questionOf(['a']), tried })).toEqual(undefined);
  });

  it('uses failing runners when there are no others', () => {
    const runners = tableOf(1);
    runners.get('runner-0')?.health.record(0, 'unreachable');
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    expect(choice.choose(questionOf([], 1))?.reason).toEqual('last_resort');
  });

  // Guards against attempts at runners that have just refused a connection, while one of them is up again.
  it('asks first the runner whose host refused longest ago, if all are down', () => {
    const runners = tableOf(6);
    const order = [3, 0, 5, 1, 4, 2].map((number) => `runner-${number}`);
    for (const [at, id] of order.entries()) runners.get(id)?.health.record(at, 'not_connected');
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const chosen = order.map((_, index) => {
      const tried = new Set(order.slice(0, index));
      return choice.choose({ ...questionOf(['a'], 10), tried })?.runner.entry.id;
    });
    expect(chosen).toEqual(order);
  });

  it('spreads requests over all runners that are ejected, if some are unresponsive', () => {
    const runners = tableOf(6);
    for (let index = 0; index < 6; index += 1) {
      const outcome = index === 0 ? 'unreachable' : 'not_connected';
      runners.get(`runner-${index}`)?.health.record(index, outcome);
    }
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const chosen = new Set<string | undefined>();
    for (let index = 0; index < 100; index += 1) {
      chosen.add(choice.choose(questionOf([`prompt-${index}`], 10))?.runner.entry.id);
    }
    expect(chosen.size).toEqual(6);
  });
});

describe('the choice for a request with home regions', () => {
  const regionOf = (dataCentre: string) => (dataCentre === 'unknown' ? undefined : dataCentre);

  function choiceOf(...places: string[]): RunnerChoice {
    const runners = new RunnerTable();
    for (const [index, dataCentre] of places.entries()) {
      const id = `runner-${index}`;
      const place = { host: '127.0.0.1', port: 9_000 + index, dataCentre };
      runners.put({ id, life: id, service: 'chat', state: 'ready', ...place });
    }
    const admission = new RunnerAdmission({ regionOf });
    return new RunnerChoice({
      runners,
      admission,
      dataCentre: 'north',
      warmPlaces: new WarmPlaces(),
    });
  }

  it('never leaves the home regions, however full their runners are', () => {
    const choice = choiceOf('north', 'south', 'west', 'unknown');
    for (let sent = 0; sent < 40; sent += 1) {
      const chosen = choice.choose({ ...questionOf(['part']), homeRegions: ['south', 'west'] });
      expect(['south', 'west'].includes(chosen?.runner.entry.dataCentre ?? '')).toEqual(true);
      if (chosen) chosen.runner.inFlight += 1;
    }
  });

  it('finds no runner when no home region has one', () => {
    const choice = choiceOf('north', 'unknown');
    const question = { ...questionOf([]), homeRegions: ['south'] };
    expect(choice.choose(question)).toEqual(undefined);
  });

  it('copies no cached prompt from outside the home regions', () => {
    // Guards against a prompt that leaves its home regions through a cache copy.
    const choice = choiceOf('north', 'south');
    const anywhere = { ...questionOf(['part']), tried: new Set(['runner-1']) };
    expect(choice.choose(anywhere)?.runner.entry.dataCentre).toEqual('north');
    const atHome = choice.choose({ ...questionOf(['part']), homeRegions: ['south'] });
    expect([atHome?.runner.entry.dataCentre, atHome?.cacheSource]).toEqual(['south', undefined]);
  });
});

describe('the choice while runners are left out', () => {
  const LOADS = [6, 1, 0, 0];

  /** Chooses among four runners: one has the prompt and six requests, one has one request, and two are left out. */
  function reasonOf(leaveOut: (runners: RunnerTable) => void): string | undefined {
    const runners = new RunnerTable();
    const warmPlaces = new WarmPlaces();
    for (const [index, load] of LOADS.entries()) {
      const id = `runner-${index}`;
      const dataCentre = index < 2 ? 'here' : 'there';
      const place = { host: '127.0.0.1', port: 9_000 + index, dataCentre };
      runners.put({ id, life: id, service: 'chat', state: 'ready', ...place });
      const runner = runners.get(id);
      if (runner) runner.inFlight = load;
    }
    warmPlaces.remember('part', 'runner-0');
    leaveOut(runners);
    const coldStarts = new ColdStarts({
      rateOf: () => 1,
      ownershipOf: () => ({ share: 0, stableMilliseconds: 0 }),
      daemons: () => 1_000,
    });
    const admission = new RunnerAdmission({ coldStarts });
    const choice = new RunnerChoice({ runners, admission, dataCentre: 'here', warmPlaces });
    return choice.choose(questionOf(['part']))?.reason;
  }

  it('decides by the mean over all runners whether one is full, including evacuated and cold ones', () => {
    // Guards against a runner with more requests than the operators' limit over the mean of its service allows.
    expect(reasonOf((runners) => runners.setEvacuated(new Set(['there'])))).toEqual('spilled');
    const becomeCold = (runners: RunnerTable) => {
      for (const runner of runners.list().slice(2)) runner.coldUntil = 10_000;
    };
    expect(reasonOf(becomeCold)).toEqual('spilled');
  });

  it('uses the mean over the remaining runners when the others drain', () => {
    const leave = (runners: RunnerTable) => {
      for (const { entry } of runners.list().slice(2)) runners.put({ ...entry, state: 'draining' });
    };
    expect(reasonOf(leave)).toEqual('warm');
  });
});
