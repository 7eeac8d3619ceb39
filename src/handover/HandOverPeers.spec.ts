import { describe, it } from 'node:test';

import { expect } from 'earl';

import { seededRandom } from '../random/seededRandom.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { HandOverPeers } from './HandOverPeers.js';
import { PathReports } from './PathReports.js';

const DATA_CENTRES = ['north', 'east', 'south'];

/** Requests to each cut daemon, per second. */
const RATE = 8;

const SECONDS = 12;

/** From this time after the cut on, callers have to be served; in ms. */
const CONTACT_MILLISECONDS = 3_000;

/** Number of daemons that are asked for one request. */
const MAXIMUM_ASKED = 16;

const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

interface CutFleet {
  readonly size: number;
  readonly cut: number;
  /** Whether the daemons hear which others have no path: all of them in a small fleet, by broadcasts in a large one. */
  readonly hears: boolean;
}

interface Outcome {
  sent: number;
  failed: number;
  asked: number;
  readonly takenBy: Map<string, number>;
}

function entryOf(index: number): DaemonEntry {
  const address = `10.0.${Math.floor(index / 250)}.${index % 250}:1`;
  const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] as string;
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name: `daemon-${index}`, dataCentre, ...addresses };
}

/** Hands over one request; the daemons from `cut` on have a path. */
function handOver(
  peers: HandOverPeers,
  reports: PathReports,
  own: DaemonEntry,
  daemons: readonly DaemonEntry[],
  cut: ReadonlySet<string>,
  now: number,
): { asked: number; takenBy: string | undefined } {
  const asked = new Set<string>();
  const others = daemons.filter(({ name }) => name !== own.name);
  const hasNoPath = (name: string) => reports.hasNoPath(name, now);
  while (asked.size < MAXIMUM_ASKED) {
    const peer = peers.choose({ daemons: others, asked, hasNoPath, now });
    if (!peer) break;
    asked.add(peer.name);
    if (!cut.has(peer.name)) {
      peers.recordAccepted(peer.name, now);
      return { asked: asked.size, takenBy: peer.name };
    }
    peers.recordRefused(peer.name, now);
  }
  return { asked: asked.size, takenBy: undefined };
}

function play({ size, cut, hears }: CutFleet, seed: number): Outcome {
  const random = seededRandom(seed);
  const daemons = Array.from({ length: size }, (_, index) => entryOf(index));
  const cutDaemons = daemons.slice(0, cut);
  const cutNames = new Set(cutDaemons.map(({ name }) => name));
  const broadcaster = new PathReports();
  const cutFleet = cutDaemons.map((own) => ({
    own,
    peers: new HandOverPeers({ dataCentre: own.dataCentre, random }),
    reports: new PathReports(),
  }));
  const outcome: Outcome = { sent: 0, failed: 0, asked: 0, takenBy: new Map() };
  for (let now = 0; now < SECONDS * 1_000; now += 1_000 / RATE) {
    if (hears && now % 1_000 === 0) {
      for (const { name } of cutDaemons) broadcaster.record(name, true, now);
      const hashes = broadcaster.nextBroadcast(now);
      for (const { reports } of cutFleet) reports.recordBroadcast(hashes, now);
    }
    for (const { own, peers, reports } of cutFleet) {
      const { asked, takenBy } = handOver(peers, reports, own, daemons, cutNames, now);
      if (now < CONTACT_MILLISECONDS) continue;
      outcome.sent += 1;
      outcome.asked += asked;
      if (takenBy === undefined) outcome.failed += 1;
      else outcome.takenBy.set(takenBy, (outcome.takenBy.get(takenBy) ?? 0) + 1);
    }
  }
  return outcome;
}

describe('daemons that take requests over', () => {
  for (const { size, cut } of [
    { size: 6, cut: 5 },
    { size: 9, cut: 6 },
    { size: 90, cut: 60 },
    { size: 90, cut: 84 },
    { size: 300, cut: 200 },
    { size: 300, cut: 290 },
  ]) {
    for (const hears of [true, false]) {
      // Guards against requests that find no daemon with a path because most of those asked have none.
      it(`are found when ${cut} of ${size} are cut, ${hears ? 'with' : 'without'} their reports`, () => {
        const { sent, failed, asked } = play({ size, cut, hears }, 1);
        const isKept = failed <= ALLOWED_FAILURES + sent * ALLOWED_FAILURE_SHARE;
        expect(isKept ? '' : `${failed} of ${sent} not taken, ${asked} asked`).toEqual('');
      });
    }
  }

  // Guards against one daemon with a path that gets the requests of all cut ones.
  it('get shares of the same order', () => {
    const { sent, takenBy } = play({ size: 90, cut: 60, hears: true }, 2);
    expect(takenBy.size).toEqual(30);
    expect(Math.max(...takenBy.values()) <= (3 * sent) / 30).toEqual(true);
  });

  // Guards against bytes between data centres that a near daemon could save.
  it('are near ones as long as one of them has a path', () => {
    const daemons = [0, 1, 2, 3, 4, 5].map(entryOf);
    const peers = new HandOverPeers({ dataCentre: 'north' });
    const question = { daemons, asked: new Set<string>(), hasNoPath: () => false, now: 0 };
    expect(peers.choose(question)?.dataCentre).toEqual('north');
    const isNorth = (name: string) =>
      daemons.some((one) => one.name === name && one.dataCentre === 'north');
    expect(peers.choose({ ...question, hasNoPath: isNorth })?.dataCentre).not.toEqual('north');
  });

  // Guards against a second without service when the only daemon with a path was slow once.
  it('are asked again at once after a question without an answer, if no other is left', () => {
    const daemons = [entryOf(0), entryOf(1)];
    const peers = new HandOverPeers({ dataCentre: 'north' });
    const question = { daemons, asked: new Set<string>(), hasNoPath: () => false, now: 1 };
    peers.recordUnanswered('daemon-0', 0);
    expect(peers.choose(question)?.name).toEqual('daemon-1');
    peers.recordRefused('daemon-1', 0);
    expect(peers.choose(question)?.name).toEqual('daemon-0');
  });

  // Guards against refusals for want of room while a daemon that has not been asked yet has room.
  it('are not preferred for requests that they had no room for', () => {
    const daemons = [entryOf(0), entryOf(3), entryOf(6)];
    const peers = new HandOverPeers({ dataCentre: 'north', random: () => 0.9 });
    const question = { daemons, asked: new Set<string>(), hasNoPath: () => false, now: 1 };
    for (const name of ['daemon-0', 'daemon-3']) {
      peers.recordAccepted(name, 0);
      peers.recordFull(name);
    }
    expect(peers.choose(question)?.name).toEqual('daemon-6');
  });

  it('are asked again a second after a refusal', () => {
    const daemons = [entryOf(0)];
    const peers = new HandOverPeers({ dataCentre: 'north' });
    const question = { daemons, asked: new Set<string>(), hasNoPath: () => false };
    peers.recordRefused('daemon-0', 0);
    expect(peers.choose({ ...question, now: 999 })).toEqual(undefined);
    expect(peers.choose({ ...question, now: 1_000 })?.name).toEqual('daemon-0');
  });
});
