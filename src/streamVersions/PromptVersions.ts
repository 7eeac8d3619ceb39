/**
 * Shares with the fleet at which software versions runners have prompts cached, so that a stream goes on of which neither a
 * daemon nor the store has a record.
 */
import { fromBinary } from '@bufbuild/protobuf';

import { MessageKind, StreamVersionsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { PromptReader } from './PromptReader.js';
import type { PromptReaderOptions } from './PromptReader.js';
import { PromptRecords } from './PromptRecords.js';
import type { RecordSender } from './RecordSender.js';

/** Options of {@link PromptVersions}. */
export interface PromptVersionsOptions extends Omit<PromptReaderOptions, 'onPrompts'> {
  socket: Pick<FleetSocket, 'handle'>;
  sender: Pick<RecordSender, 'sendPrompts'>;
}

/** Owns what is known of prompts, and the lists that are being read. */
export class PromptVersions {
  private readonly records = new PromptRecords();

  private readonly reader: PromptReader;

  /**
   * @param options - the runners to ask, and the daemons to tell.
   */
  constructor({ socket, sender, ...options }: PromptVersionsOptions) {
    this.reader = new PromptReader({
      ...options,
      onPrompts: (prompts) => {
        for (const { stream: prompt, softwareVersion } of prompts) {
          this.records.record(prompt, softwareVersion);
        }
        sender.sendPrompts(prompts);
      },
    });
    socket.handle(MessageKind.PROMPT_VERSIONS, (message) => this.handleMessage(message));
  }

  /** @returns Whether any runner has listed a prompt lately. */
  get hasAny(): boolean {
    return this.records.size > 0;
  }

  /** Asks the runners that have to be asked now. */
  look(): void {
    this.reader.look();
  }

  /**
   * @param prompt - key of a prompt, if there is one.
   * @returns All versions whose runners have it cached, as far as is known.
   */
  versionsOf(prompt: bigint | undefined): readonly string[] {
    return prompt === undefined ? [] : this.records.versionsOf(prompt);
  }

  /**
   * Drops what is too old.
   *
   * @param now - monotonic ms.
   * @param retentionMilliseconds - how long each record has to be kept.
   */
  expire(now: number, retentionMilliseconds: number): void {
    this.records.expire(now, retentionMilliseconds);
  }

  private handleMessage(message: Uint8Array): void {
    const { groups } = fromBinary(StreamVersionsSchema, message);
    for (const { softwareVersion, streams: prompts } of groups) {
      for (const prompt of prompts) this.records.record(prompt, softwareVersion);
    }
  }
}
