import { afterEach, describe, it } from 'node:test';

import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import { FleetState } from '../fleet/FleetState.js';
import { ConnectPeerLink } from '../peers/ConnectPeerLink.js';
import { PeerCredentials } from '../peers/PeerCredentials.js';
import { PeerServer } from '../peers/PeerServer.js';
import { peersSettings } from '../peers/peersFeature.js';
import { SignedTokens } from '../peers/SignedTokens.js';
import { SystemClock } from '../time/SystemClock.js';
import { toMemberMessage } from './membershipCodec.js';
import { MembershipDecisions } from './MembershipDecisions.js';
import { MembershipTask } from './MembershipTask.js';
import type { MemberRecord } from './membershipTypes.js';

const SECRET = 'a secret of the whole fleet';
const settings = peersSettings.parse({ fleetSecrets: [SECRET], stopTimeoutMilliseconds: 50 });
/**
 * Much shorter intervals than in production, so that the test is fast; it waits for conditions, not for times.
 */
const TUNING = {
  gossipIntervalMilliseconds: 20,
  probeTimeoutMilliseconds: 500,
  suspicionRounds: 10,
  shortSuspicionMilliseconds: 100,
  reviveIntervalMilliseconds: 100,
  giveUpAfterMilliseconds: 300,
};

interface RunningDaemon {
  readonly id: string;
  readonly address: string;
  readonly fleet: FleetState;
  readonly task: MembershipTask;
  readonly link: ConnectPeerLink;
  readonly kill: () => Promise<void>;
}

const running = new Set<RunningDaemon>();

afterEach(async () => {
  for (const daemon of running) await daemon.kill();
});

async function start(
  id: string,
  seeds: readonly string[],
  incarnation = 1,
): Promise<RunningDaemon> {
  const clock = new SystemClock();
  const credentials = new PeerCredentials({
    daemonId: id,
    tokens: new SignedTokens({ secrets: [SECRET] }),
    clock,
  });
  const link = new ConnectPeerLink({ credentials, settings });
  const server = new PeerServer({ credentials, settings });
  const holder: { task?: MembershipTask } = {};
  server.mount({
    gossip: (message, context) => holder.task!.handlers().gossip!(message, context),
    probeFor: (message, context) => holder.task!.handlers().probeFor!(message, context),
  });
  const port = await server.listen('127.0.0.1', 0);
  const address = `127.0.0.1:${port}`;
  const self: MemberRecord = {
    daemonId: id,
    incarnation,
    version: 1,
    state: 'alive',
    peerAddress: address,
    callerAddress: address,
    region: 'rosario',
    dataCentre: 'rosario-1',
    firm: 'litoral',
  };
  const fleet = new FleetState({ self: toMemberMessage(self) });
  const decisions = new MembershipDecisions({ self, seed: port, tuning: TUNING });
  const awayThresholdMilliseconds = 60_000;
  const task = new MembershipTask({ decisions, clock, link, fleet, awayThresholdMilliseconds });
  holder.task = task;
  task.start(seeds);
  const daemon: RunningDaemon = {
    id,
    address,
    fleet,
    task,
    link,
    kill: async () => {
      running.delete(daemon);
      task.stop();
      link.close();
      await server.close();
    },
  };
  running.add(daemon);
  return daemon;
}

/**
 * Waits until every fleet satisfies the condition; the test's own time limit ends a wait that never succeeds.
 */
async function until(daemons: readonly RunningDaemon[], condition: (fleet: FleetState) => boolean) {
  await Promise.all(
    daemons.map(
      ({ fleet }) =>
        new Promise<void>((resolve) => {
          const check = () => condition(fleet) && resolve();
          fleet.onChange(check);
          check();
        }),
    ),
  );
}

function statesOf(fleet: FleetState): Record<string, string> {
  return Object.fromEntries(fleet.members().map(({ daemonId, state }) => [daemonId, state]));
}

describe(MembershipTask.name, { timeout: 20_000 }, () => {
  it('joins daemons over real connections and shows a death, a restart and a planned stop', async () => {
    const first = await start('a', []);
    const second = await start('b', [first.address]);
    const third = await start('c', [first.address]);
    await until([first, second, third], (fleet) =>
      ['a', 'b', 'c'].every((id) => fleet.member(id)?.state === 'alive'),
    );
    const news = {
      configurationRevision: 7,
      configurationDigest: 'x',
      runnersRevision: 3,
      pools: [{ service: 's', runners: 2, load: 10, lightestRunner: 'r', lightestLoad: 4 }],
    };
    second.task.publish(news);
    await until([first, third], (fleet) => fleet.poolLoad('s').mean === 5);
    expect(first.fleet.member('b')!.configurationRevision).toEqual(7n);

    await third.kill();
    await until([first, second], (fleet) => fleet.member('c')?.state === 'dead');
    const returned = await start('c', [second.address], 2);
    await until([first, second, returned], (fleet) =>
      ['a', 'b', 'c'].every((id) => fleet.member(id)?.state === 'alive'),
    );
    expect(first.fleet.member('c')!.incarnation).toEqual(2n);

    second.task.leave();
    await until([first, returned], (fleet) => fleet.member('b')?.state === 'leaving');
    await second.task.finish();
    await second.kill();
    await until([first, returned], (fleet) => fleet.member('b')?.state === 'left');
    expect(statesOf(first.fleet)).toEqual({ a: 'alive', b: 'left', c: 'alive' });
  });

  it('refuses a message that names another daemon as its sender', async () => {
    // Guards against records that seem to come from another daemon. The sender's name has to be checked against
    // the identity that the connection authenticated.
    const first = await start('a', []);
    const second = await start('b', [first.address]);
    let code: Code | undefined;
    try {
      await second.link
        .clientFor('a', first.address)
        .gossip({ from: 'someone-else', kind: 'delta' });
    } catch (error) {
      code = ConnectError.from(error).code;
    }
    expect(code).toEqual(Code.PermissionDenied);
  });
});
