/**
 * The platform's part in a measurement: one document that goes forward, watches that hear of it.
 */
import { create, toBinary } from '@bufbuild/protobuf';

import {
  changesUpdate,
  ConfigurationDocument,
} from '../../src/configuration/ConfigurationDocument.js';
import type { DocumentUpdate } from '../../src/configuration/configurationTypes.js';
import {
  ConfigurationChangeSchema,
  ConfigurationEntitySchema,
  EntityEditSchema,
} from '../../src/generated/baobabdock/v1/changes_pb.js';
import { ClientAccountSchema } from '../../src/generated/baobabdock/v1/configuration_pb.js';
import type { VirtualTime } from '../routing/VirtualTime.js';

/** Time of one call, and of a watch's report, in ms. */
const STORE_MILLISECONDS = 5;

/** Accounts that changes go round on. */
const ACCOUNTS = 200;

/** Holds the accepted configuration. */
export class VirtualStore {
  readonly document = new ConfigurationDocument();

  /** Bytes of each change in the schema's form, by revision. */
  readonly changeBytes = new Map<number, number>();

  private readonly watches = new Map<string, (answer: DocumentUpdate, revision: number) => void>();

  private readonly time: VirtualTime;

  /**
   * @param time - virtual time.
   */
  constructor(time: VirtualTime) {
    this.time = time;
  }

  /**
   * @param haveRevision - what the reader has.
   * @param arrive - takes the answer.
   */
  read(haveRevision: number, arrive: (answer: DocumentUpdate, revision: number) => void): void {
    this.time.after(STORE_MILLISECONDS, () =>
      arrive(this.document.updateSince(haveRevision), this.document.revision()),
    );
  }

  /**
   * @param daemonId - who watches.
   * @param report - told of each change.
   */
  watch(daemonId: string, report: (answer: DocumentUpdate, revision: number) => void): void {
    this.watches.set(daemonId, report);
  }

  /**
   * @param daemonId - who no longer watches.
   */
  unwatch(daemonId: string): void {
    this.watches.delete(daemonId);
  }

  /** @returns Watches that wait now. */
  get waitingWatches(): number {
    return this.watches.size;
  }

  /** Accepts one change, as an operator makes it. */
  commit(): void {
    const revision = this.document.revision() + 1;
    const clientAccount = create(ClientAccountSchema, {
      name: `account-${revision % ACCOUNTS}`,
      firm: 'litoral',
      highestPriority: 'standard',
      maximumConcurrentRequests: revision,
      weight: 1,
    });
    const entity = create(ConfigurationEntitySchema, {
      entity: { case: 'clientAccount', value: clientAccount },
    });
    const edits = [create(EntityEditSchema, { edit: { case: 'upsert', value: entity } })];
    const change = create(ConfigurationChangeSchema, {
      revision: BigInt(revision),
      changeId: `change-${revision}`,
      author: 'an operator',
      edits,
      digest: this.document.state().withEdits(edits).digest,
    });
    this.changeBytes.set(revision, toBinary(ConfigurationChangeSchema, change).length);
    const answer = changesUpdate([change]);
    this.document.apply(answer);
    for (const report of this.watches.values()) {
      this.time.after(STORE_MILLISECONDS, () => report(answer, revision));
    }
  }
}
