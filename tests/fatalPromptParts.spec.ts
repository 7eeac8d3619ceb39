/**
 * A part of prompts that crashes each runner that begins to answer on it, in requests of which no two are alike, beside
 * sound requests that share their other parts.
 */
import { Agent } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import { promptPartsOf } from '../standIns/site/promptParts.js';
import { sendAtRate } from '../standIns/site/sendAtRate.js';
import { StandInSite } from '../standIns/site/StandInSite.js';
import type { ReceivedRequest } from '../standIns/site/siteRunnerTypes.js';

const DAEMONS = 6;
const RUNNERS = 12;

/** How long a crashed runner is away, in ms. */
const DOWN_MILLISECONDS = 2_000;

/** Time from a request's arrival at a runner to its answer or the crash, in ms. */
const WORK_MILLISECONDS = 40;

const SOUND_PER_SECOND = 80;
const FATAL_PER_SECOND = 4;

/** Sound requests alone, before the first one that crashes a runner; in ms. */
const QUIET_MILLISECONDS = 1_500;

const PLAYED_MILLISECONDS = 14_000;

/** Crashes after which no request with the part is to reach a runner. */
const CRASHES = 5;

/** In which all daemons have to know, in ms. */
const CONTACT_MILLISECONDS = 3_000;

/** Requests with the part that may reach runners after that, in all. */
const LATE_ARRIVALS = 3;

/** Share of what was served before that still has to be served. */
const SERVED_SHARE = 1 / 2;

const FIRST_PARTS = 4;
const SECOND_PARTS = 20;

/** Where a play's requests differ. */
interface Play {
  readonly name: string;
  readonly path: string;
  /** Parts that crash runners. */
  readonly fatalParts: readonly string[];
  /** Shared parts of a request with the part. */
  partsOf(part: string, number: number): readonly string[];
  /** Shared parts of further sound requests, from a time on; in ms. */
  readonly companion?: { readonly parts: readonly string[]; readonly from: number };
}

/** The same parts, save one. */
function partsWith(count: number, place: number, part: string): readonly string[] {
  return Array.from({ length: count }, (_, index) => (index === place ? part : `c${index}`));
}

const PLAYS: readonly Play[] = [
  {
    name: 'the second of its parts, in streams that may be resumed',
    path: '/chat/',
    fatalParts: ['fa7a1'],
    partsOf: (part) => ['a0', part, 'd1'],
  },
  {
    name: 'the first of its parts, in streams that are sent once',
    path: '/draft/',
    fatalParts: ['fa7a1'],
    partsOf: (part, number) => [part, `b${number % SECOND_PARTS}`],
  },
  {
    name: 'the 37th of its 40 parts',
    path: '/chat/',
    fatalParts: ['fa7a1'],
    partsOf: (part) => partsWith(40, 36, part),
    companion: { parts: partsWith(40, 36, 'e1'), from: 0 },
  },
  {
    name: 'the last of its 300 parts',
    path: '/chat/',
    fatalParts: ['fa7a1'],
    partsOf: (part) => partsWith(300, 299, part),
    companion: { parts: partsWith(300, 299, 'e1'), from: 0 },
  },
  {
    name: 'beside a part that such requests always have',
    path: '/chat/',
    fatalParts: ['fa7a1'],
    partsOf: (part) => ['a0', 'c0', part],
    companion: { parts: ['a0', 'c0', 'e1'], from: 7_000 },
  },
  {
    name: 'two such parts in turn',
    path: '/chat/',
    fatalParts: ['fa7a1', 'fa7a2'],
    partsOf: (part, number) => [`a${number % FIRST_PARTS}`, part],
  },
];

/** A sound request that has ended. */
interface Ended {
  readonly sentAt: number;
  readonly isServed: boolean;
  readonly parts: readonly string[];
}

function servedShare(requests: readonly Ended[]): number {
  return requests.filter(({ isServed }) => isServed).length / requests.length;
}

describe('a part of prompts that crashes runners', () => {
  let site: StandInSite;
  let sent: number;
  let startedAt: number;
  let agents: Agent[];

  /** When requests with each part reached runners, in ms since the start. */
  const arrivals = new Map<string, number[]>();

  const ended: Ended[] = [];

  const now = () => performance.now() - startedAt;

  async function start({ fatalParts }: Pick<Play, 'fatalParts'>): Promise<void> {
    sent = 0;
    arrivals.clear();
    ended.length = 0;
    agents = [];
    site = new StandInSite({ changeBoundMilliseconds: 500, pollMilliseconds: 2 });
    await site.start();
    const fatalPartOf = (request: ReceivedRequest) =>
      promptPartsOf(request.headers).find((part) => fatalParts.includes(part));
    for (let index = 0; index < RUNNERS; index += 1) {
      await site.addRunner({
        id: `engine-${index}`,
        service: 'engine',
        workMilliseconds: WORK_MILLISECONDS,
        eventMilliseconds: 8,
        downMilliseconds: DOWN_MILLISECONDS,
        isFatal: (request) => fatalPartOf(request) !== undefined,
        onRan: (request) => {
          const part = fatalPartOf(request);
          if (part) arrivals.set(part, [...(arrivals.get(part) ?? []), now()]);
        },
      });
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      await site.addDaemon(`daemon-${index}`);
      agents.push(new Agent({ keepAlive: true }));
    }
    await site.untilConnected();
    startedAt = performance.now();
  }

  afterEach(async () => {
    for (const agent of agents) agent.destroy();
    await site.stop();
  });

  /** Sends a request that is like no other to the next daemon. */
  async function send(path: string, parts: readonly string[]): Promise<boolean> {
    const index = sent % DAEMONS;
    sent += 1;
    const prefix = [...parts, `f${sent}`].map((part) => `${part}:10`).join();
    const address = site.daemons[index]?.settings.addresses.callers ?? '';
    const answer = await callSite({
      address,
      path: `${path}${sent}`,
      body: `prompt ${sent}`,
      headers: { 'Prompt-Prefix': prefix, 'Deadline-Ms': '2000' },
      ...(agents[index] && { agent: agents[index] }),
    }).catch(() => undefined);
    return answer?.status === 200 && answer.isComplete;
  }

  async function sendSound(path: string, parts: readonly string[]): Promise<void> {
    const sentAt = now();
    const isServed = await send(path, parts);
    ended.push({ sentAt, isServed, parts });
  }

  /** Sends requests at a rate until the end of the play. */
  async function repeat(
    perSecond: number,
    from: number,
    call: (number: number) => Promise<unknown>,
  ): Promise<void> {
    await sendAtRate({ site, now, perSecond, from, until: PLAYED_MILLISECONDS }, call);
  }

  async function play({ path, fatalParts, partsOf, companion }: Play): Promise<void> {
    const soundParts = (number: number) => [
      `a${number % FIRST_PARTS}`,
      `b${(number * 7) % SECOND_PARTS}`,
    ];
    const loads = [
      repeat(SOUND_PER_SECOND, 0, (number) => sendSound(path, soundParts(number))),
      repeat(FATAL_PER_SECOND, QUIET_MILLISECONDS, (number) => {
        const part = fatalParts[number % fatalParts.length] ?? '';
        return send(path, partsOf(part, number));
      }),
    ];
    if (companion) {
      const { parts, from } = companion;
      loads.push(repeat(FATAL_PER_SECOND, from, () => sendSound(path, parts)));
    }
    await Promise.all(loads);
  }

  /** The crash after which all daemons have to know, or the last one if there are fewer; in ms since the start. */
  function decisiveCrash(part: string): number {
    const crashes = arrivals.get(part) ?? [];
    return (crashes[CRASHES - 1] ?? crashes.at(-1) ?? 0) + WORK_MILLISECONDS;
  }

  function lateArrivals(part: string): number {
    const from = decisiveCrash(part) + CONTACT_MILLISECONDS;
    return (arrivals.get(part) ?? []).filter((at) => at > from).length;
  }

  for (const one of PLAYS) {
    // Guards against a fleet that learns nothing from crashes under requests that share a part of their prompts.
    it(`reaches no more runners soon after it has crashed five: ${one.name}`, async () => {
      await start(one);
      await play(one);
      const late = one.fatalParts.map(lateArrivals);
      expect(late.filter((count) => count > LATE_ARRIVALS)).toEqual([]);
      const from = Math.max(...one.fatalParts.map(decisiveCrash)) + 2 * CONTACT_MILLISECONDS;
      const before = ended.filter(({ sentAt }) => sentAt < QUIET_MILLISECONDS);
      const after = ended.filter(({ sentAt }) => sentAt > from);
      const isSharing = ({ parts }: Ended) => parts.some((part) => part === 'a0' || part === 'c0');
      const bound = servedShare(before) * SERVED_SHARE;
      expect(servedShare(after) >= bound).toEqual(true);
      expect(servedShare(after.filter(isSharing)) >= bound).toEqual(true);
      if (!one.companion) return;
      const companions = after.filter(({ parts }) => parts.includes('c0'));
      expect([companions.length > 0, servedShare(companions) >= bound]).toEqual([true, true]);
    });
  }

  // Guards against sound parts that are blamed for crashes of another cause.
  it('blames no part for runners that end by themselves', async () => {
    await start({ fatalParts: [] });
    const ends = repeat(2, QUIET_MILLISECONDS, async (number) => {
      site.runners[(number * 5) % RUNNERS]?.crash();
    });
    const load = repeat(SOUND_PER_SECOND, 0, (number) =>
      sendSound('/chat/', [`a${number % FIRST_PARTS}`, `b${(number * 7) % SECOND_PARTS}`]),
    );
    await Promise.all([ends, load]);
    const quarantined = await Promise.all(
      site.daemons.map(async ({ settings }) => {
        const page = await fetch(`http://${settings.addresses.metrics}/metrics`);
        const gauges = (await page.text()).matchAll(/^baobabdock_quarantined_\w+ \d+/gmu);
        return [...gauges].map(([line]) => line).sort();
      }),
    );
    const none = ['baobabdock_quarantined_parts 0', 'baobabdock_quarantined_requests 0'];
    expect(quarantined).toEqual(site.daemons.map(() => none));
  });
});
