/**
 * A built daemon that is told to stop while requests come late, or need more time than is left.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';

import { expect } from 'earl';

import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { callSite } from '../standIns/site/callSite.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { SITE_HOST, SITE_KEY, StandInSite } from '../standIns/site/StandInSite.js';

/** Time for a planned stop, in seconds. */
const STOP_SECONDS = 4;

/** In which the daemon refuses new requests, in ms after the signal. */
const REFUSING_MILLISECONDS = 1_800;

/** Work of a plain request, in ms: it ends within the stop if it began before it, but not if it begins a second late. */
const WORK_MILLISECONDS = 2_500;

const BODY = 'x'.repeat(400);

describe('A planned stop of a daemon', () => {
  let folder: string;
  let program: string[];
  let site: StandInSite;
  let daemon: SiteProcess;
  let ran: string[];
  let sockets: Socket[];

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  beforeEach(async () => {
    ran = [];
    sockets = [];
    site = new StandInSite();
    await site.start();
    await site.addRunner({
      id: 'plain-1',
      service: 'plain',
      workMilliseconds: WORK_MILLISECONDS,
      onRan: ({ id }) => ran.push(id ?? ''),
    });
    const settings = { ...(await site.settingsOf('daemon-1')), stopSeconds: STOP_SECONDS };
    daemon = new SiteProcess({ settings, folder, program });
    daemon.start();
    await site.until(() => daemon.isReady());
  });

  afterEach(async () => {
    for (const socket of sockets) socket.destroy();
    await daemon.kill();
    await site.stop();
  });

  function headOf(id: string, length: number): string {
    const lines = ['POST /write/a HTTP/1.1', `Host: ${SITE_HOST}`, `Credential: ${SITE_KEY}`];
    return `${lines.join('\r\n')}\r\nAttempt-Id: ${id}\r\nContent-Length: ${length}\r\n\r\n`;
  }

  /** Opens a connection; what is received on it is added to the text. */
  function open(): { readonly socket: Socket; text: string; readonly closed: Promise<unknown> } {
    const [host = '', port] = daemon.settings.addresses.callers.split(':');
    const socket = connect({ host, port: Number(port) });
    sockets.push(socket);
    const closed = new Promise((done) => {
      socket.once('close', done);
    });
    const opened = { socket, text: '', closed };
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      opened.text += String(chunk);
    });
    return opened;
  }

  // Guards against requests in progress that are lost as a second signal ends the process.
  it('goes on when it is told again, and answers what is in progress', async () => {
    const address = daemon.settings.addresses.callers;
    const answers = [1, 2, 3].map(() => callSite({ address, path: '/write/a' }));
    await site.until(() => ran.length === 3);
    daemon.signal('SIGTERM');
    await wait(300);
    daemon.signal('SIGTERM');
    daemon.signal('SIGTERM');
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses).toEqual([200, 200, 200]);
    expect(await daemon.ended()).toEqual(0);
  });

  // Guards against a request that is passed on though the daemon refuses others, and is cut at the end of the stop.
  it('refuses a request whose body ends when others are refused', async () => {
    const late = open();
    late.socket.write(headOf('late', BODY.length));
    await wait(300);
    daemon.signal('SIGTERM');
    await wait(REFUSING_MILLISECONDS);
    late.socket.write(BODY);
    await late.closed;
    expect(late.text.startsWith('HTTP/1.1 503 ')).toEqual(true);
    expect(late.text.includes('"stopping"')).toEqual(true);
    expect(ran).toEqual([]);
  });

  // Guards against a request that is passed on behind the answer that ends its connection, and gets none itself.
  it('passes nothing on behind the answer that ends a connection', async () => {
    const both = open();
    both.socket.write(headOf('first', 0));
    await site.until(() => ran.length === 1);
    both.socket.write(headOf('second', 0));
    daemon.signal('SIGTERM');
    await both.closed;
    expect(both.text.match(/HTTP\/1\.1 200 /gu)?.length).toEqual(1);
    expect(ran).toEqual(['first']);
    expect(await daemon.ended()).toEqual(0);
  });

  // Guards against callers without an answer at the end of the stop.
  it('answers what does not end in time', async () => {
    const slow = open();
    daemon.signal('SIGTERM');
    await wait(REFUSING_MILLISECONDS - 450);
    slow.socket.write(headOf('slow', 0));
    await slow.closed;
    expect(slow.text.startsWith('HTTP/1.1 ')).toEqual(true);
    expect(slow.text.includes('\r\n\r\n')).toEqual(true);
    expect(ran.length === 0 || !slow.text.startsWith('HTTP/1.1 503 ')).toEqual(true);
    expect(await daemon.ended()).toEqual(0);
  });
});
