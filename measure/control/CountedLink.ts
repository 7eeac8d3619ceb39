/**
 * Calls between the homes of a run, in memory; counts what they would take on the wire.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import type { Client, HandlerContext } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';

import type { PeerService } from '../../src/generated/baobabdock/v1/peers_pb.js';
import {
  AskHomeRequestSchema,
  AskHomeResponseSchema,
  TellHomeRequestSchema,
} from '../../src/generated/baobabdock/v1/peers_pb.js';
import { PeerLink } from '../../src/peers/PeerLink.js';
import type { PeerHandlers } from '../../src/peers/PeerServer.js';
import { bodyBytes, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES } from './wireSize.js';

type HomeCalls = Pick<Client<typeof PeerService>, 'askHome' | 'tellHome'>;

const CALL_OVERHEAD_BYTES = REQUEST_OVERHEAD_BYTES + RESPONSE_OVERHEAD_BYTES;

/** What passed since the last reset. */
export interface LinkCounts {
  asks: number;
  tells: number;
  changes: number;
  bytes: number;
}

/** One for all daemons of a run. */
export class CountedLink extends PeerLink {
  counts: LinkCounts = { asks: 0, tells: 0, changes: 0, bytes: 0 };

  /** By daemon; one that is missing is down. */
  readonly handlers = new Map<string, PeerHandlers>();

  override clientFor(daemonId: string): Client<typeof PeerService> {
    const calls: HomeCalls = {
      askHome: async (question) => {
        const request = create(AskHomeRequestSchema, question);
        const bytes = bodyBytes(toBinary(AskHomeRequestSchema, request));
        const given = await this.served(daemonId).askHome!(request, {} as HandlerContext);
        const answer = create(AskHomeResponseSchema, given);
        this.counts.asks += 1;
        this.counts.bytes += CALL_OVERHEAD_BYTES + bytes;
        this.counts.bytes += bodyBytes(toBinary(AskHomeResponseSchema, answer));
        return answer;
      },
      tellHome: async (news) => {
        const request = create(TellHomeRequestSchema, news);
        this.counts.tells += 1;
        this.counts.changes += request.changes.length;
        this.counts.bytes += CALL_OVERHEAD_BYTES;
        this.counts.bytes += bodyBytes(toBinary(TellHomeRequestSchema, request));
        await this.served(daemonId).tellHome!(request, {} as HandlerContext);
        return {} as Awaited<ReturnType<HomeCalls['tellHome']>>;
      },
    };
    return calls as Client<typeof PeerService>;
  }

  override close(): void {}

  private served(daemonId: string): PeerHandlers {
    const handlers = this.handlers.get(daemonId);
    if (!handlers) throw new ConnectError('down', Code.Unavailable);
    return handlers;
  }
}
