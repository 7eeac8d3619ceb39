/**
 * Runs the task over the real protocol of the platform's store. Peers are other tasks in the same process.
 */
import { afterEach, describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { expect } from 'earl';

import { PlatformStandIn } from '../../standIns/platform/PlatformStandIn.js';
import { policyEdit, runnerRecord } from '../../standIns/platform/sampleConfiguration.js';
import { MemberSchema, PeerService } from '../generated/baobabdock/v1/peers_pb.js';
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { SilentLog } from '../logging/Log.js';
import { PeerLink } from '../peers/PeerLink.js';
import { EtcdPlatformStore } from '../store/EtcdPlatformStore.js';
import { SystemClock } from '../time/SystemClock.js';
import { ConfigurationEditor } from './ConfigurationEditor.js';
import { configurationSettings } from './configurationFeature.js';
import { ConfigurationTask } from './ConfigurationTask.js';
import { instanceWrite } from './InstanceDirectory.js';
import { seededRandom } from '../random/seededRandom.js';

const HOUR = 3_600_000;

/** Milliseconds, far more than the test needs: a change that never arrives fails the test at this limit. */
const TEST_TIMEOUT = { timeout: 60_000 };

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of cleanups.splice(0).reverse()) await close();
});

/** Peer link that calls the tasks of other daemons in this process. */
class LocalPeerLink extends PeerLink {
  constructor(private readonly tasks: ReadonlyMap<string, ConfigurationTask>) {
    super();
  }

  override clientFor(daemonId: string): Client<typeof PeerService> {
    const transport = createRouterTransport(({ service }) => {
      service(PeerService, {
        pullDocument: (request) => this.tasks.get(daemonId)!.pullDocument(request),
      });
    });
    return createClient(PeerService, transport);
  }

  override close(): void {}
}

/** Lets a test wait until a daemon has reached a revision. */
class RevisionWaiter {
  private readonly waiting: { revision: number; resolve: () => void }[] = [];

  private reached = 0;

  reach(revision: number): void {
    this.reached = revision;
    this.waiting.filter((each) => each.revision <= revision).forEach(({ resolve }) => resolve());
  }

  until(revision: number): Promise<void> {
    if (this.reached >= revision) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.push({ revision, resolve });
    });
  }
}

function createDaemon(daemonId: string, address: string, tasks: Map<string, ConfigurationTask>) {
  const clock = new SystemClock();
  const store = new EtcdPlatformStore({ addresses: [address], callTimeoutMilliseconds: 20_000 });
  const [configuration, runners] = [new RevisionWaiter(), new RevisionWaiter()];
  const task = new ConfigurationTask({
    self: { daemonId, region: 'rosario', dataCentre: 'r1' },
    store,
    link: new LocalPeerLink(tasks),
    clock,
    log: new SilentLog(),
    // Checks come too late for the test, so that changes can arrive by the watch only.
    settings: configurationSettings.parse({
      watchersPerDataCentre: 1,
      checkMilliseconds: HOUR,
      runnersCheckMilliseconds: HOUR,
    }),
    random: seededRandom(1),
    listener: {
      onConfiguration: (_whole, revision) => configuration.reach(revision),
      onRunners: (list) => runners.reach(list.runners.length),
    },
  });
  tasks.set(daemonId, task);
  const editor = new ConfigurationEditor({
    repository: task.repository,
    document: task.documents.configuration,
    onCommitted: (answer) => task.send({ kind: 'committed', answer }),
    clock,
    log: new SilentLog(),
    newId: () => `${daemonId}-snapshot`,
    retry: { random: seededRandom(1), wait: async () => {} },
  });
  cleanups.push(
    () => store.close(),
    () => task.stop(),
  );
  return { task, store, editor, configuration, runners };
}

const member = (daemonId: string, configurationRevision = 0): Member =>
  create(MemberSchema, {
    daemonId,
    incarnation: 1n,
    state: 'alive',
    peerAddress: `${daemonId}:1`,
    region: 'rosario',
    dataCentre: 'r1',
    configurationRevision: BigInt(configurationRevision),
  });

describe('the configuration task over the published protocol', () => {
  it(
    'follows by watch at the watcher and by pull at the others, through a broken watch',
    TEST_TIMEOUT,
    async () => {
      // Guards against a change that no daemon applies after connection resets. Every connection to the store
      // breaks, and another daemon makes a change. It goes wrong if the watch is not opened again, or not from
      // the revision at which it ended.
      const standIn = new PlatformStandIn();
      const address = await standIn.start();
      cleanups.push(() => standIn.stop());
      const tasks = new Map<string, ConfigurationTask>();
      const daemons = ['a', 'b'].map((daemonId) => createDaemon(daemonId, address, tasks));
      const members = ['a', 'b'].map((daemonId) => member(daemonId));
      daemons.forEach(({ task }) => task.updateMembers(members));
      const [watcher, other] = [...daemons].sort(({ task }) =>
        task.documents.syncState('configuration') === 'following' ? 1 : -1,
      );
      const outside = createDaemon('c', address, new Map());
      const requestedChange = (changeId: string, bound: number) => ({
        changeId,
        author: 'ana',
        comment: '',
        edits: [policyEdit('warm', bound)],
      });
      await outside.editor.change(requestedChange('one', 1.2));
      await watcher!.configuration.until(1);
      const watcherId = daemons.indexOf(watcher!) === 0 ? 'a' : 'b';
      other!.task.updateMember(member(watcherId, 1));
      await other!.configuration.until(1);
      standIn.dropConnections();
      await outside.editor.change(requestedChange('two', 1.3));
      await watcher!.configuration.until(2);
      const record = runnerRecord({ runnerId: 'sales-1' });
      await outside.store.transact({ expected: [], writes: [instanceWrite(record)] });
      await Promise.race(daemons.map(({ runners }) => runners.until(1)));
      expect(watcher!.task.documents.configuration.state().revision).toEqual(2);
      expect(other!.task.documents.syncState('configuration')).toEqual('following');
    },
  );
});
