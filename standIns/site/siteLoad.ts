/**
 * Generates load for a site: requests of all kinds at a constant rate, with the results and latencies of callers.
 */
import { Agent } from 'node:http';

import { build } from 'hdr-histogram-js';

import { seededRandom } from '../../src/random/seededRandom.js';
import { callSite } from './callSite.js';
import type { SiteCall } from './callSite.js';

/** Options of {@link runSiteLoad}. */
export interface SiteLoadOptions {
  /** Returns the IP addresses and ports of daemons; called before each request. */
  addresses: () => readonly string[];
  /** Requests per second, over all daemons. */
  rate: number;
  seconds: number;
  seed?: number;
  /** Number of different shared prompts. */
  prompts?: number;
  /** Size of a chat's body, in bytes. */
  bodyBytes?: number;
}

/** Results of a load. */
export interface SiteLoadResult {
  readonly sent: number;
  /** Number of answers by status; 0 stands for a broken connection. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Time until the complete answer, in ms. */
  readonly medianMilliseconds: number;
  readonly slowestMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

const CHAT_SHARE = 0.7;
const WRITE_SHARE = 0.2;

/**
 * Sends requests at fixed times, regardless of whether earlier ones have been answered (open loop).
 *
 * @param options - the daemons, the rate and the duration.
 * @returns The results.
 */
export async function runSiteLoad({
  addresses,
  rate,
  seconds,
  seed = 1,
  prompts = 50,
  bodyBytes = 900,
}: SiteLoadOptions): Promise<SiteLoadResult> {
  const random = seededRandom(seed);
  const agent = new Agent({ keepAlive: true });
  const latencies = build();
  const statuses: Record<string, number> = {};
  const pending: Promise<void>[] = [];
  const body = 'x'.repeat(bodyBytes);
  const refusing = new Set<string>();
  /** Addresses that refused a connection. Callers avoid them, since nothing was sent there. */
  const callAnywhere = async (call: Omit<SiteCall, 'address'>): Promise<number> => {
    const choices = addresses().filter((address) => !refusing.has(address));
    const address = choices[Math.floor(random() * choices.length)];
    if (address === undefined) return 0;
    try {
      const answer = await callSite({ ...call, address });
      return answer.isComplete ? answer.status : 0;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED') return 0;
      refusing.add(address);
      return callAnywhere(call);
    }
  };
  const sendOne = async () => {
    const kind = random();
    const parts = `a${Math.floor(random() * 4)}:2500,b${Math.floor(random() * prompts)}:6000,c:500`;
    const startedAt = performance.now();
    const headers = { 'Prompt-Prefix': parts, 'Deadline-Ms': '6000' };
    const chat = { path: '/chat/x', body, headers };
    const plain = { path: kind < CHAT_SHARE + WRITE_SHARE ? '/write/x' : '/read/x', body: 'order' };
    const status = await callAnywhere({ agent, ...(kind < CHAT_SHARE ? chat : plain) });
    statuses[status] = (statuses[status] ?? 0) + 1;
    latencies.recordValue(performance.now() - startedAt);
  };
  const total = Math.round(rate * seconds);
  for (let sent = 0; sent < total; sent += 1) {
    pending.push(sendOne());
    await new Promise((done) => {
      setTimeout(done, MILLISECONDS_PER_SECOND / rate);
    });
  }
  await Promise.all(pending);
  agent.destroy();
  return {
    sent: total,
    statuses,
    medianMilliseconds: latencies.getValueAtPercentile(50),
    slowestMilliseconds: latencies.maxValue,
  };
}
