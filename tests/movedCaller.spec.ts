import { Agent } from 'node:http';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { forwardingLogEvents } from '../src/forwarding/forwardingFeature.js';
import { callSite } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const CHAT = { 'Prompt-Prefix': 'a1:100,b2:200,c3:10', Model: 'm' };

/** More than arrive before the caller moves. */
const EVENTS = 400;

describe('a caller that moves to another data centre while its request runs', () => {
  let site: StandInSite;
  let log: MemoryLog;
  let plain: SiteRunner;
  let engine: SiteRunner;
  let before: string;
  let after: string;

  beforeEach(async () => {
    log = new MemoryLog();
    site = new StandInSite({ log });
    await site.start();
    plain = await site.addRunner({ id: 'plain-1', service: 'plain', echoes: true });
    engine = await site.addRunner({ id: 'engine-1', service: 'engine', events: EVENTS });
    const daemons = [await site.addDaemon('daemon-1'), await site.addDaemon('daemon-2')];
    [before = '', after = ''] = daemons.map(({ settings }) => settings.addresses.callers);
    await site.until(() => daemons.every(({ daemon }) => daemon.knowledge.runners.size === 2));
  });

  afterEach(() => site.stop());

  /** The connection to the first daemon ends with the move, whatever waits on it. */
  function leaves(agent: Agent): void {
    agent.destroy();
  }

  it('has its order run once, and gets the answer to its next request only', async () => {
    // Guards against a second run of an order, and against an answer that reaches another request, when a caller moves
    // to another daemon while its order still runs at the first one.
    plain.behaviour = 'mute';
    const agent = new Agent({ keepAlive: true });
    const headers = { 'Attempt-Id': 'order' };
    const lost = callSite({ address: before, path: '/write/a', agent, headers }).catch(
      () => 'left',
    );
    await site.until(() => plain.ran.length === 1);
    plain.behaviour = 'answers';
    const next = callSite({ address: after, path: '/read/a', headers: { 'Attempt-Id': 'state' } });
    leaves(agent);
    expect(await lost).toEqual('left');
    expect((await next).body).toEqual('answer of plain-1 for state');
    await site.until(() => log.fieldsOf(forwardingLogEvents.callerLeft).length === 1);
    expect(plain.ran.map(({ id }) => id)).toEqual(['order', 'state']);
    const [daemon] = site.daemons;
    expect(daemon?.daemon.knowledge.runners.get('plain-1')?.inFlight).toEqual(0);
  });

  it('gets its stream from where it was, and the first run ends', async () => {
    const agent = new Agent({ keepAlive: true });
    let begun = false;
    const onData = () => {
      begun = true;
    };
    const first = { address: before, path: '/chat/', headers: CHAT, agent, onData };
    const lost = callSite(first).then(
      ({ isComplete }) => isComplete,
      () => false,
    );
    await site.until(() => begun);
    leaves(agent);
    expect(await lost).toEqual(false);
    const headers = { ...CHAT, 'Last-Event-Id': '1' };
    const answer = await callSite({ address: after, path: '/chat/', headers });
    expect(answer.isComplete).toEqual(true);
    expect(answer.body.startsWith('id: 2\n')).toEqual(true);
    expect(answer.body.match(/^id: /gmu)?.length).toEqual(EVENTS - 1);
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.get(engine.id)?.inFlight === 0),
    );
    expect(engine.ran.length).toEqual(2);
  });
});
