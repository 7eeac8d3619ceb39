/**
 * The task over the real protocol of the platform, with peers that answer from their own tasks.
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

/** Far beyond what the test needs; a change that never arrives ends it as failed. */
const TEST_TIMEOUT = { timeout: 60_000 };

const closing: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

/** Calls the tasks of other daemons in this process. */
class LocalPeerLink extends PeerLink {
  constructor(private readonly tasks: ReadonlyMap<string, ConfigurationTask>) {
    super();
  }

  override to(daemonId: string): Client<typeof PeerService> {
    const transport = createRouterTransport(({ service }) => {
      service(PeerService, {
        pullDocument: (request) => this.tasks.get(daemonId)!.pullDocument(request),
      });
    });
    return createClient(PeerService, transport);
  }

  override close(): void {}
}

/** Resolves waiters once a daemon has a revision in force. */
class Progress {
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

function daemonOf(daemonId: string, address: string, tasks: Map<string, ConfigurationTask>) {
  const clock = new SystemClock();
  const store = new EtcdPlatformStore({ addresses: [address], callTimeoutMilliseconds: 20_000 });
  const [configuration, runners] = [new Progress(), new Progress()];
  const task = new ConfigurationTask({
    self: { daemonId, region: 'rosario', dataCentre: 'r1' },
    store,
    link: new LocalPeerLink(tasks),
    clock,
    log: new SilentLog(),
    // No check within the test: what is followed is followed by the watch.
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
  closing.push(
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
      // Symptom: after the platform cut its connections a change is in force nowhere.
      // Sequence: every connection to the platform breaks; a change is made by another daemon.
      // Cause: a watch that ends and is not opened again, or not from where it ended.
      const standIn = new PlatformStandIn();
      const address = await standIn.start();
      closing.push(() => standIn.stop());
      const tasks = new Map<string, ConfigurationTask>();
      const daemons = ['a', 'b'].map((daemonId) => daemonOf(daemonId, address, tasks));
      const members = ['a', 'b'].map((daemonId) => member(daemonId));
      daemons.forEach(({ task }) => task.updateMembers(members));
      const [watcher, other] = [...daemons].sort(({ task }) =>
        task.documents.syncState('configuration') === 'following' ? 1 : -1,
      );
      const outside = daemonOf('c', address, new Map());
      const asked = (changeId: string, bound: number) => ({
        changeId,
        author: 'ana',
        comment: '',
        edits: [policyEdit('warm', bound)],
      });
      await outside.editor.change(asked('one', 1.2));
      await watcher!.configuration.until(1);
      const watcherId = daemons.indexOf(watcher!) === 0 ? 'a' : 'b';
      other!.task.peerRevision(member(watcherId, 1));
      await other!.configuration.until(1);
      standIn.dropConnections();
      await outside.editor.change(asked('two', 1.3));
      await watcher!.configuration.until(2);
      const record = runnerRecord({ runnerId: 'sales-1' });
      await outside.store.transact({ expected: [], writes: [instanceWrite(record)] });
      await Promise.race(daemons.map(({ runners }) => runners.until(1)));
      expect(watcher!.task.documents.configuration.state().revision).toEqual(2);
      expect(other!.task.documents.syncState('configuration')).toEqual('following');
    },
  );
});
