/**
 * One client sends streaming requests whose `Prompt-Prefix` names many parts, one request after the other, to two daemons.
 * Each request stays inside the limits of the configuration. A daemon that ends is started again, as the platform does.
 */
import { Agent } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { send } from '../harness/Client.js';
import type { Daemon } from '../harness/Daemon.js';
import { runScenario } from '../harness/Site.js';
import type { Site } from '../harness/Site.js';

/** Parts of a prompt; the head of such a request stays below `max_header_bytes`, which is 16,384. */
const PARTS = 1_400;

/** Odd, so that different numbers give different ids. */
const SPREAD = 2_654_435_761n;

/** Between two requests to the same daemon, in ms. */
const PAUSE_MILLISECONDS = 300;

/** How long the client goes on, in ms. */
const LENGTH_MILLISECONDS = 60_000;

/** Ordinary clients of each daemon, each with one kept connection. */
const ORDINARY_CLIENTS = 6;

const RESTART_MILLISECONDS = 500;

/** More requests than this must not be lost, see LOST. */
const LOST_ALLOWED = 3;

/** Ends of a process by itself that are a fault, if that many machines have them. */
const FAULTY_ENDS = 3;
const FAULTY_MACHINES = 2;

let lastPart = 0n;

function nextPart(): string {
  lastPart += 1n;
  const id = BigInt.asUintN(32, lastPart * SPREAD);
  return `${id.toString(16).padStart(8, '0')}:2`;
}

/** Without the disruption, the same client names two parts in each request. */
function promptOf(isCalm: boolean): string {
  return Array.from({ length: isCalm ? 2 : PARTS }, nextPart).join();
}

async function sendLongPrompts(site: Site, daemon: Daemon, until: number): Promise<void> {
  while (performance.now() < until && daemon.ends.length < FAULTY_ENDS) {
    const prompt = promptOf(site.isCalm);
    const answer = await send({
      ...{ address: daemon.addresses.callers, path: '/chat/x', deadlineMilliseconds: 5_000 },
      headers: { Model: 'm', 'Token-Usage': '2800,4', 'Prompt-Prefix': prompt },
    });
    const { status, milliseconds } = answer;
    site.note(`${daemon.name} prompt of ${prompt.length} bytes: ${status} in ${milliseconds} ms`);
    if (!daemon.isRunning) {
      site.note(`${daemon.name} has ended: ${daemon.ends.at(-1)}`);
      await wait(RESTART_MILLISECONDS);
      daemon.start();
      await daemon.untilReady();
    }
    await wait(PAUSE_MILLISECONDS);
  }
}

/** An ordinary client, which uses one connection for all its requests; counts those that were run and not answered. */
async function countLost(site: Site, daemon: Daemon, until: number): Promise<number> {
  let lost = 0;
  let agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let isKept = false;
  while (performance.now() < until && daemon.ends.length < FAULTY_ENDS) {
    const address = daemon.addresses.callers;
    const call = { address, path: '/status/x', method: 'GET', deadlineMilliseconds: 5_000, agent };
    const { id, status, isComplete } = await send(call);
    const run = site.runs.find(({ attempt }) => attempt === id);
    if (isKept && run && !isComplete) {
      lost += 1;
      site.note(
        `ordinary request ${id} ran at ${run.runner}; ${daemon.name} closed its connection`,
      );
    }
    isKept = isComplete && status === 200;
    if (!isKept) {
      agent.destroy();
      agent = new Agent({ keepAlive: true, maxSockets: 1 });
      await wait(200);
    }
  }
  agent.destroy();
  return lost;
}

void runScenario(async (site) => {
  const engine = { service: 'engine', events: 3, eventMilliseconds: 20, prefillMilliseconds: 50 };
  await site.start({
    daemons: 3,
    runners: [
      { ...engine, id: 'e1' },
      { ...engine, id: 'e2' },
      { id: 'p1', service: 'plain', workMilliseconds: 100 },
      { id: 'p2', service: 'plain', workMilliseconds: 100 },
    ],
  });
  const until = performance.now() + LENGTH_MILLISECONDS;
  const attacked = site.daemons.slice(0, FAULTY_MACHINES);
  const ordinary = attacked.flatMap((daemon) =>
    Array.from({ length: ORDINARY_CLIENTS }, () => countLost(site, daemon, until)),
  );
  await Promise.all(attacked.map((daemon) => sendLongPrompts(site, daemon, until)));
  const lost = (await Promise.all(ordinary)).reduce((sum, count) => sum + count, 0);
  const broken: string[] = [];
  for (const { name, ends } of site.daemons) {
    site.note(`${name} has ended ${ends.length} times`);
    if (ends.length > 0)
      broken.push(`${name} has ended by itself ${ends.length} times: ${ends[0]}`);
  }
  if (lost > LOST_ALLOWED) broken.push(`${lost} requests on kept connections were run and lost`);
  return broken;
});
