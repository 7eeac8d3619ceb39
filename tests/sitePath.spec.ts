import { Agent } from 'node:http';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { forwardingLogEvents } from '../src/forwarding/forwardingFeature.js';
import { callSite } from '../standIns/site/callSite.js';
import type { SiteCall } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { wholeStream } from '../standIns/site/siteStreams.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const CHAT = { 'Prompt-Prefix': 'a1:100,b2:200,c3:10', Model: 'm' };

describe('a site of daemons that forward directly', () => {
  let site: StandInSite;
  let log: MemoryLog;
  let plain: SiteRunner;
  let engine: SiteRunner;
  let address: string;

  beforeEach(async () => {
    log = new MemoryLog();
    site = new StandInSite({ log, retryRatio: 2 });
    await site.start();
    plain = await site.addRunner({ id: 'plain-1', service: 'plain' });
    engine = await site.addRunner({ id: 'engine-1', service: 'engine' });
    const { daemon, settings } = await site.addDaemon('daemon-1');
    address = settings.addresses.callers;
    await site.until(() => daemon.isReady && daemon.knowledge.runners.size === 2);
  });

  afterEach(() => site.stop());

  async function isIdle(id: string): Promise<void> {
    await site.until(() => site.daemons[0]?.daemon.knowledge.runners.get(id)?.inFlight === 0);
  }

  it('passes a request and its answer unchanged, with what only the system may set', async () => {
    const headers = { Tenant: 'forged', Hold: 'forged', 'Deadline-Ms': '800', 'X-Own': 'kept' };
    const answer = await callSite({ address, path: '/write/a?b=c', body: 'order', headers });
    expect(answer.status).toEqual(200);
    expect(answer.body).toEqual('answer of plain-1');
    expect(answer.headers['response-seal']).toEqual('seal-plain-1');
    const [ran] = plain.ran;
    expect(ran).toEqual(expect.subset({ method: 'POST', target: '/write/a?b=c', body: 'order' }));
    expect(ran?.headers).toEqual(
      expect.subset({ tenant: 'account-1', 'expect-instance': 'plain-1', 'x-own': 'kept' }),
    );
    expect(ran?.headers.credential).toEqual(undefined);
    expect(ran?.headers.hold).toEqual(undefined);
    expect(Number(ran?.headers['deadline-ms'])).toBeLessThanOrEqual(800);
  });

  it('answers bad requests itself, and the connection carries the next one', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const cases: readonly (Omit<SiteCall, 'address'> & { expected: number })[] = [
      { path: '/none/', expected: 404 },
      { path: '/read/', headers: { Credential: 'unknown' }, expected: 401 },
      { path: '/read/', headers: { 'X-Large': 'x'.repeat(5_000) }, expected: 431 },
      { path: '/read/', expected: 200 },
      { path: '/read/', body: 'x'.repeat(2_000), expected: 413 },
    ];
    for (const { expected, ...call } of cases) {
      const { status } = await callSite({ address, agent, ...call });
      expect(status).toEqual(expected);
    }
    expect(plain.ran.length).toEqual(1);
    agent.destroy();
  });

  it('goes on with a cut stream at another runner, within the same answer', async () => {
    // Guards against half an event, a repeated one or a gap in a resumed stream: bytes of an unfinished event must not
    // be passed on.
    engine.behaviour = 'cuts_stream';
    const second = await site.addRunner({ id: 'engine-2', service: 'engine' });
    await site.until(() => site.daemons[0]?.daemon.knowledge.runners.size === 3);
    second.behaviour = 'cuts_stream';
    const pending = callSite({
      address,
      path: '/chat/',
      headers: CHAT,
      onData: () => {
        engine.behaviour = 'answers';
        second.behaviour = 'answers';
      },
    });
    const answer = await pending;
    expect(answer.body).toEqual(wholeStream(5));
    expect(answer.isComplete).toEqual(true);
    const [first, resumed] = [...engine.ran, ...second.ran].sort(
      (a, b) => Number(a.headers['last-event-id'] ?? 0) - Number(b.headers['last-event-id'] ?? 0),
    );
    expect(first?.headers['last-event-id']).toEqual(undefined);
    expect(resumed?.headers['last-event-id']).toEqual('2');
  });

  it('cuts the answer where a stream may not be resumed', async () => {
    // Guards against a cut stream that looks complete to its caller because the HTTP message ends regularly.
    engine.behaviour = 'cuts_stream';
    const answer = await callSite({ address, path: '/draft/', headers: CHAT });
    expect(answer.isComplete).toEqual(false);
    expect(answer.body).toEqual(wholeStream(2));
    expect(engine.ran.length).toEqual(1);
  });

  describe('with answers that have neither a length nor chunks', () => {
    beforeEach(async () => {
      const common = { service: 'engine', isUnframed: true };
      await site.addRunner({ ...common, id: 'engine-2' });
      await site.addRunner({ ...common, id: 'engine-3' });
      engine.stop();
      site.store.write('servers/engine-1', undefined);
      await site.until(() => {
        const ready = site.daemons[0]?.daemon.knowledge.runners.readyOf('engine') ?? [];
        return ready.length === 2 && ready.every(({ entry }) => entry.id !== 'engine-1');
      });
    });

    function letAll(behaviour: SiteRunner['behaviour']): void {
      for (const runner of site.runners) runner.behaviour = behaviour;
    }

    it('goes on, within the same answer, with a stream whose runner ends it inside an event', async () => {
      // Guards against half a stream that looks complete because its runner closed the connection in order.
      letAll('ends_stream_early');
      const onData = () => letAll('answers');
      const answer = await callSite({ address, path: '/chat/', headers: CHAT, onData });
      expect(answer.body).toEqual(wholeStream(5));
      expect(answer.isComplete).toEqual(true);
    });

    it('breaks off, visibly, a stream that may not be resumed and ends inside an event', async () => {
      // Guards against half a stream that looks complete because its runner closed the connection in order.
      letAll('ends_stream_early');
      const answer = await callSite({ address, path: '/draft/', headers: CHAT });
      expect(answer.body).toEqual(wholeStream(2));
      expect(answer.isComplete).toEqual(false);
    });

    it('passes on whole streams as complete', async () => {
      for (const path of ['/chat/', '/draft/']) {
        const answer = await callSite({ address, path, headers: CHAT });
        expect(answer.body).toEqual(wholeStream(5));
        expect(answer.isComplete).toEqual(true);
      }
    });
  });

  it('does not repeat what may run once when its answer is lost', async () => {
    // Guards against a repeated non-idempotent request: after a reset it is unknown whether the request has run.
    await site.addRunner({ id: 'plain-2', service: 'plain' });
    await site.until(() => site.daemons[0]?.daemon.knowledge.runners.size === 3);
    for (const runner of site.runners) runner.behaviour = 'loses_answer';
    const answer = await callSite({ address, path: '/write/a' });
    expect(answer.status).toEqual(502);
    const runs = site.runners.reduce((sum, { ran }) => sum + ran.length, 0);
    expect(runs).toEqual(1);
  });

  it('repeats what may be repeated when its answer is lost', async () => {
    const second = await site.addRunner({ id: 'plain-2', service: 'plain' });
    await site.until(() => site.daemons[0]?.daemon.knowledge.runners.size === 3);
    plain.behaviour = 'loses_answer';
    for (let count = 0; count < 4; count += 1) {
      expect((await callSite({ address, path: '/read/a' })).status).toEqual(200);
    }
    expect(second.ran.length).toEqual(4);
  });

  it('says "not run" only where no runner has run the request', async () => {
    for (const behaviour of ['refuses', 'misdirected'] as const) {
      plain.behaviour = behaviour;
      const answer = await callSite({ address, path: '/write/a' });
      expect(answer.status).toEqual(503);
      expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
    }
    expect(plain.ran.length).toEqual(0);
    plain.stop();
    expect((await callSite({ address, path: '/write/a' })).status).toEqual(503);
  });

  it('gives a runner’s own error, signed, when no other runner does better', async () => {
    plain.behaviour = 'fails';
    const answer = await callSite({ address, path: '/read/a' });
    expect(answer.status).toEqual(500);
    expect(answer.headers['response-seal']).toEqual('seal-plain-1');
  });

  it('tells the end of a request once, also where a second try finds no runner', async () => {
    // Guards against a request that is ended twice: by the failed search for another runner, and by its caller.
    plain.behaviour = 'fails';
    await callSite({ address, path: '/read/a' });
    expect(log.fieldsOf(forwardingLogEvents.answered).length).toEqual(1);
  });

  it('says which runner broke off an answer that is too large to be held', async () => {
    // Guards against a cut answer without a log line that names the runner: a large answer is passed on while it
    // arrives, so that there is no decision about another runner.
    const plainBody = 'x'.repeat(600_000);
    const large = await site.addRunner({ id: 'plain-2', service: 'plain', plainBody });
    large.behaviour = 'cuts_plain';
    site.store.write('servers/plain-1', undefined);
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    await site.until(() => knowledge?.runners.get('plain-1') === undefined);
    await site.until(() => knowledge?.runners.get('plain-2') !== undefined);
    const answer = await callSite({ address, path: '/read/a' });
    expect(answer.isComplete).toEqual(false);
    const failed = log.fieldsOf(forwardingLogEvents.attemptFailed);
    expect(failed).toEqual([
      expect.subset({ runner: 'plain-2', failure: 'broken', verdict: 'cut' }),
    ]);
  });

  it('passes an answer that is too large to be held', async () => {
    // Guards against broken large answers: an answer that outgrows the buffer for a second attempt is passed on, and
    // its end must not be taken for a second answer.
    const plainBody = 'x'.repeat(600_000);
    const large = await site.addRunner({ id: 'plain-2', service: 'plain', plainBody });
    site.store.write('servers/plain-1', undefined);
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    await site.until(() => knowledge?.runners.get('plain-1') === undefined);
    await site.until(() => knowledge?.runners.get('plain-2') !== undefined);
    const answer = await callSite({ address, path: '/read/a' });
    expect(answer.body.length).toEqual(plainBody.length);
    expect(answer.isComplete).toEqual(true);
    expect(large.ran.length).toEqual(1);
  });

  it('ends a request at the timeout of its route, and its run with it', async () => {
    // Guards against requests that last longer than the timeout of their route, because only the caller's longer
    // deadline is observed, and against runners that keep working for them.
    site.store.write('op/config', siteConfiguration(2, { timeout: 60 }));
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    await site.until(() => knowledge?.routes?.configuration.version === 2);
    plain.behaviour = 'mute';
    const answer = await callSite({
      address,
      path: '/write/a',
      headers: { 'Deadline-Ms': '5000' },
    });
    expect(answer.status).toEqual(504);
    await isIdle('plain-1');
  });

  it('breaks a run off when its caller leaves', async () => {
    plain.behaviour = 'mute';
    const agent = new Agent({ keepAlive: true });
    const pending = callSite({ address, path: '/read/a', agent }).catch(() => 'left');
    await site.until(() => plain.ran.length === 1);
    agent.destroy();
    await pending;
    await isIdle('plain-1');
  });

  it('sends nothing new to a draining runner, and finishes what it has', async () => {
    // Guards against new requests to a runner that drains while a stream runs, and against a stream that is cut with
    // it.
    await site.addRunner({ id: 'engine-2', service: 'engine' });
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    await site.until(() => knowledge?.runners.size === 3);
    const drains = () => site.store.write('servers/engine-1', engine.entry('draining'));
    const answer = await callSite({ address, path: '/chat/', headers: CHAT, onData: drains });
    expect(answer.body).toEqual(wholeStream(5));
    await site.until(() => knowledge?.runners.get('engine-1')?.entry.state === 'draining');
    const before = engine.ran.length;
    for (let count = 0; count < 5; count += 1) {
      await callSite({ address, path: '/chat/', headers: CHAT });
    }
    expect(engine.ran.length).toEqual(before);
  });

  it('sends chats to a runner that has started again under its id, as to a new one', async () => {
    // Guards against connections and counts of an earlier incarnation: a runner restarts under its id and address, and
    // its entry never lapses.
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    await callSite({ address, path: '/chat/', headers: CHAT });
    const before = knowledge?.runners.get('engine-1');
    engine.restart();
    site.store.write('servers/engine-1', engine.entry());
    await site.until(() => knowledge?.runners.get('engine-1') !== before);
    const answer = await callSite({ address, path: '/chat/', headers: CHAT });
    expect(answer.body).toEqual(wholeStream(5));
    expect(engine.ran.length).toEqual(1);
    const spoilt = site.store.write('servers/engine-1', { service: 'engine' });
    await site.until(() => (knowledge?.revision ?? 0) >= spoilt);
    expect((await callSite({ address, path: '/chat/', headers: CHAT })).status).toEqual(503);
    site.store.write('servers/engine-1', engine.entry());
    await site.until(() => knowledge?.runners.get('engine-1')?.entry.state === 'ready');
    expect((await callSite({ address, path: '/chat/', headers: CHAT })).status).toEqual(200);
  });

  it('never goes back to an older configuration', async () => {
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    const version = () => knowledge?.routes?.configuration.version;
    site.store.write('op/config', siteConfiguration(7));
    await site.until(() => version() === 7);
    site.store.write('op/config', siteConfiguration(6));
    const revision = site.store.write('op/other', {});
    await site.until(() => (knowledge?.revision ?? 0) >= revision);
    expect(version()).toEqual(7);
  });

  it('reads everything anew when the store has forgotten its history', async () => {
    // Guards against requests to a runner that left while the watch was interrupted, after which the store compacted
    // its history: no later change contains the removal.
    const { knowledge } = site.daemons[0]?.daemon ?? {};
    site.store.faultFor({ fault: 'busy' });
    site.store.write('servers/engine-1', undefined);
    site.store.dropHistory();
    site.store.faultFor({ fault: 'none' });
    await site.until(() => knowledge?.runners.get('engine-1') === undefined);
  });

  it('learns from another daemon what the store does not tell it', async () => {
    // Guards against a daemon that does not know a new route for seconds because the store refuses this daemon only.
    const first = site.daemons[0];
    if (!first) throw new Error('the site has no daemon');
    const second = await site.addDaemon('daemon-2', [first.settings.addresses.peers]);
    await site.until(() => second.daemon.isReady && first.daemon.knowledge.daemons.size === 2);
    const own = new Set<number>();
    site.store.faultFor({
      fault: 'busy',
      concerns: ({ socket }) => {
        // From now on the store refuses the daemon whose watch arrives first.
        if (own.size === 0) own.add(socket.remotePort ?? 0);
        return own.has(socket.remotePort ?? 0);
      },
    });
    site.store.write('op/config', siteConfiguration(3));
    const versions = () =>
      site.daemons.map(({ daemon }) => daemon.knowledge.routes?.configuration.version);
    await site.until(() => versions().every((version) => version === 3));
  });

  it('starts from another daemon’s knowledge while the store is away', async () => {
    const first = site.daemons[0];
    if (!first) throw new Error('the site has no daemon');
    await site.until(() => first.daemon.knowledge.daemons.size === 1);
    site.store.faultFor({ fault: 'silent' });
    const second = await site.addDaemon('daemon-2', [first.settings.addresses.peers]);
    await site.until(() => second.daemon.isReady);
    const answer = await callSite({ address: second.settings.addresses.callers, path: '/read/a' });
    expect(answer.status).toEqual(200);
  });

  it('finishes what is in progress in a planned stop, and is out of the directory at once', async () => {
    // Guards against lost answers in a planned stop: connections must not be closed under a stream, and callers must
    // not be directed to the daemon any more.
    const [first] = site.daemons;
    if (!first) throw new Error('the site has no daemon');
    await site.until(() => site.store.keys('daemons/').length === 1);
    let stopped: Promise<number> | undefined;
    const stop = () => {
      stopped = first.daemon.stop();
    };
    const answer = await callSite({ address, path: '/chat/', headers: CHAT, onData: stop });
    expect(answer.body).toEqual(wholeStream(5));
    expect(first.daemon.isReady).toEqual(false);
    expect(first.daemon.addressesFor({ dataCentre: 'here' })).toEqual([]);
    await site.until(() => site.store.keys('daemons/').length === 0);
    const next = await callSite({ address, path: '/read/a' });
    expect(next.headers.connection).toEqual('close');
    expect(await stopped).toEqual(0);
  });
});
