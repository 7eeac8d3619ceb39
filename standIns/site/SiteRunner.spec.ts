import { request } from 'node:http';
import type { ClientRequest } from 'node:http';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { parseAddress } from '../../src/http/parseAddress.js';
import { SiteRunner } from './SiteRunner.js';

/** Sends a request, and returns it with the status of its answer; 0 if the connection ended before. */
function send(address: string): { call: ClientRequest; status: Promise<number> } {
  const call = request({ ...parseAddress(address), agent: false });
  const status = new Promise<number>((done) => {
    call.once('response', (answer) => {
      answer.resume();
      done(answer.statusCode ?? 0);
    });
    call.once('error', () => done(0));
  });
  call.end();
  return { call, status };
}

async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise(setImmediate);
}

describe(SiteRunner.name, () => {
  it('keeps all its slots when callers leave while their requests wait', async () => {
    // Guards against runners that get slower and slower, so that a soak blames daemons for it.
    const runner = new SiteRunner({ id: 'plain-1', service: 'plain', slots: 1 });
    await runner.start();
    runner.behaviour = 'mute';
    const first = send(runner.ownAddress);
    await until(() => runner.ran.length === 1);
    const waiting = send(runner.ownAddress);
    await until(() => runner.arrivals.length === 2);
    waiting.call.destroy();
    await waiting.status;
    await until(async () => (await runner.countConnections()) === 1);
    await new Promise(setImmediate);
    runner.behaviour = 'answers';
    first.call.destroy();
    await first.status;
    expect(await send(runner.ownAddress).status).toEqual(200);
    runner.stop();
  });
});
