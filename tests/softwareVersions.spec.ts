/**
 * Streams while runners of two software versions serve side by side: what two versions write does not fit together.
 */
import { afterEach, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'earl';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { countEvents, wholeStream } from '../standIns/site/siteStreams.js';
import type { SiteDaemon } from '../standIns/site/StandInSite.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const CHAT = { 'Prompt-Prefix': 'a1:100,b2:200,c3:10', Model: 'm' };

const DAEMONS = 6;

const RUNNERS_OF_VERSION = 4;

const STREAMS = 60;

const EVENTS = 8;

/** Streams that may hold events of two versions: it is not known at once that a runner has started again. */
const ALLOWED_MIXED = 2;

const OK = 200;

const UNAVAILABLE = 503;

/** A stream with the first events that its caller got of it. */
interface BegunStream {
  readonly id: string;
  /** Position of the daemon that it was sent to. */
  readonly daemon: number;
  readonly body: string;
}

describe('streams before runners of two software versions', () => {
  let site: StandInSite;
  let runners: SiteRunner[];
  let nextId = 0;

  /** Versions at which each attempt ran, by its id. */
  const ranAt = new Map<string, Set<string>>();

  function knowsAll({ daemon: { knowledge } }: SiteDaemon): boolean {
    const isWhole = knowledge.runners.size === runners.length && knowledge.secret !== undefined;
    return isWhole && knowledge.daemons.size === DAEMONS;
  }

  async function addEngine(index: number, version: string, echoes: boolean): Promise<SiteRunner> {
    const runner: SiteRunner = await site.addRunner({
      id: `engine-${index + 1}`,
      service: 'engine',
      version,
      echoes,
      events: EVENTS,
      eventMilliseconds: 4,
      onRan: ({ id = '' }) => {
        ranAt.set(id, new Set([...(ranAt.get(id) ?? []), runner.version]));
      },
    });
    return runner;
  }

  async function start(versions = ['v1', 'v1.2'], echoes = false): Promise<void> {
    site = new StandInSite({ retryRatio: 2 });
    await site.start();
    runners = [];
    for (let index = 0; index < 2 * RUNNERS_OF_VERSION; index += 1) {
      runners.push(await addEngine(index, versions[index % versions.length]!, echoes));
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      const seeds = site.daemons.map(({ settings }) => settings.addresses.peers).slice(0, 3);
      await site.addDaemon(`daemon-${index + 1}`, seeds);
    }
    await site.until(() => site.daemons.every(knowsAll));
  }

  afterEach(() => site.stop());

  function newId(): string {
    nextId += 1;
    return `stream-${nextId}`;
  }

  function call(daemon: number, headers: Record<string, string>): Promise<SiteAnswer> {
    const address = site.daemons[daemon % DAEMONS]!.settings.addresses.callers;
    return callSite({ address, path: '/chat/', headers: { ...CHAT, ...headers } });
  }

  /** Sends a stream whose caller loses it after its first events. */
  async function begin(daemon: number, id = newId()): Promise<BegunStream> {
    const address = site.daemons[daemon % DAEMONS]!.settings.addresses.callers;
    const leaves = (received: string) => countEvents(received) >= 2;
    const headers = { ...CHAT, 'Attempt-Id': id };
    const { body } = await callSite({ address, path: '/chat/', headers, leaves });
    return { id, daemon, body };
  }

  /** Takes a stream up at another daemon than the one that it began at. */
  async function takeUp({ id, daemon, body }: BegunStream) {
    const secondId = newId();
    const headers = {
      'Attempt-Id': secondId,
      'Last-Event-Id': String(countEvents(body)),
      Resumes: id,
    };
    return { secondId, answer: await call(daemon + 1, headers) };
  }

  function versionsOf(...ids: readonly string[]): Set<string> {
    return new Set(ids.flatMap((id) => [...(ranAt.get(id) ?? [])]));
  }

  /** Versions of the runners that wrote the events. */
  function versionsIn(body: string): Set<string | undefined> {
    return new Set([...body.matchAll(/ by (\S+)$/gmu)].map(([, version]) => version));
  }

  it('go on, within one answer, at the version that began them', async () => {
    // Guards against one answer with events of two software versions after its runner broke off.
    await start(undefined, true);
    for (const runner of runners) runner.behaviour = 'cuts_stream';
    const ids = Array.from({ length: STREAMS }, newId);
    const answers = await Promise.all(ids.map((id, index) => call(index, { 'Attempt-Id': id })));
    const resumed = ids.filter((id) =>
      runners.some(({ ran }) =>
        ran.some((request) => request.id === id && request.headers['last-event-id'] !== undefined),
      ),
    );
    expect(resumed.length).toBeGreaterThan(STREAMS / 2);
    expect(answers.filter(({ body }) => versionsIn(body).size > 1)).toEqual([]);
    expect(answers.some(({ body }) => versionsIn(body).size === 1)).toEqual(true);
  });

  it('go on at the version that began them when their callers take them up at another daemon', async () => {
    // Guards against events of two software versions over a caller's tries.
    await start();
    const begun = await Promise.all(Array.from({ length: STREAMS }, (_, index) => begin(index)));
    const taken = await Promise.all(
      begun.map(async (stream) => ({ stream, ...(await takeUp(stream)) })),
    );
    const mixed = taken.filter(({ stream, secondId }) => versionsOf(stream.id, secondId).size > 1);
    expect(mixed.map(({ stream }) => stream.id)).toEqual([]);
    const whole = taken.filter(
      ({ stream, answer }) =>
        stream.body + answer.body === wholeStream(EVENTS) && answer.isComplete,
    );
    expect(whole.length).toEqual(STREAMS);
  });

  it('do not mix while runners start again, under their ids and addresses, at the other version', async () => {
    // Guards against a runner that is taken for the one that had its id before.
    await start(['v1']);
    const streams: Promise<Set<string>>[] = [];
    for (const runner of runners.slice(0, -2)) {
      for (let count = 0; count < STREAMS / 4; count += 1) {
        const stream = begin(streams.length);
        streams.push(
          stream.then(async (begun) => {
            const { secondId } = await takeUp(begun);
            return versionsOf(begun.id, secondId);
          }),
        );
        await pause(3);
      }
      runner.version = 'v1.2';
      runner.restart();
      site.store.write(`servers/${runner.id}`, runner.entry());
    }
    const mixed = (await Promise.all(streams)).filter((versions) => versions.size > 1);
    expect(mixed.length).toBeLessThanOrEqual(ALLOWED_MIXED);
  });

  it('are refused as not run when no runner of their version is left', async () => {
    // Guards against going on at another version because there is no runner of the right one.
    await start();
    const begun = await begin(0);
    const [version] = versionsOf(begun.id);
    for (const runner of runners.filter((one) => one.version === version)) {
      site.store.write(`servers/${runner.id}`, undefined);
      runner.stop();
    }
    await site.until(() =>
      site.daemons.every(
        ({ daemon }) => daemon.knowledge.runners.readyOf('engine').length === RUNNERS_OF_VERSION,
      ),
    );
    const { answer, secondId } = await takeUp(begun);
    expect(answer.status).toEqual(UNAVAILABLE);
    expect(versionsOf(secondId).size).toEqual(0);
  });

  it('are refused as not run when nobody knows the version that began them', async () => {
    // Guards against a guess, which is wrong for one of two streams.
    await start();
    const headers = { 'Last-Event-Id': '2', Resumes: 'an id that nobody has sent' };
    const answers = await Promise.all(
      Array.from({ length: 6 }, (_, index) => call(index, headers)),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => UNAVAILABLE));
    expect(runners.flatMap(({ ran }) => ran)).toEqual([]);
  });

  it('go on without a record of them while all runners have one version', async () => {
    // Guards against refusing what has one way to go on only.
    await start(['v1']);
    const headers = { 'Last-Event-Id': '2', Resumes: 'an id that nobody has sent' };
    const answers = await Promise.all(
      Array.from({ length: 6 }, (_, index) => call(index, headers)),
    );
    expect(answers.map(({ status }) => status)).toEqual(answers.map(() => OK));
  });
});
