/**
 * Converts between the protobuf messages of the peer schema and the JSON data of the membership decisions.
 */
import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type {
  DataCentreSummary,
  GossipMessage,
  Member,
  MemberNews as MemberNewsMessage,
  PoolDigest,
  PoolDigestSchema,
} from '../generated/baobabdock/v1/peers_pb.js';
import {
  DataCentreSummarySchema,
  GossipMessageSchema,
  MemberSchema,
} from '../generated/baobabdock/v1/peers_pb.js';
import membershipChart from './membership.chart.json' with { type: 'json' };
import type {
  Gossip,
  GossipKind,
  LocalNews,
  MemberNews,
  MemberRecord,
  MemberState,
  PoolNews,
  Summary,
} from './membershipTypes.js';

const KINDS: readonly string[] = ['delta', 'compare', 'full'] satisfies GossipKind[];

function isState(text: string): text is MemberState {
  return Object.hasOwn(membershipChart.states, text);
}

function isKind(text: string): text is GossipKind {
  return KINDS.includes(text);
}

/** Rounds loads to whole tokens: they are estimates, and whole numbers take fewer bytes. */
function poolMessages(pools: readonly PoolNews[]): MessageInitShape<typeof PoolDigestSchema>[] {
  return pools.map((pool) => ({
    ...pool,
    load: Math.round(pool.load),
    lightestLoad: Math.round(pool.lightestLoad),
  }));
}

function poolNews({ service, runners, load, lightestRunner, lightestLoad }: PoolDigest): PoolNews {
  return { service, runners, load, lightestRunner, lightestLoad };
}

function memberRecord(member: Member): MemberRecord | undefined {
  const { daemonId, state, peerAddress, callerAddress, region, dataCentre, firm } = member;
  if (!isState(state) || daemonId === '' || peerAddress === '') return undefined;
  const incarnation = Number(member.incarnation);
  const version = Number(member.version);
  return {
    daemonId,
    incarnation,
    version,
    state,
    peerAddress,
    callerAddress,
    region,
    dataCentre,
    firm,
  };
}

function memberNews(news: MemberNewsMessage): MemberNews {
  return {
    daemonId: news.daemonId,
    incarnation: Number(news.incarnation),
    version: Number(news.version),
    ageMilliseconds: news.ageMilliseconds,
    configurationRevision: Number(news.configurationRevision),
    configurationDigest: news.configurationDigest,
    runnersRevision: Number(news.runnersRevision),
    pools: news.pools.map(poolNews),
  };
}

function summaryOf(summary: DataCentreSummary): Summary {
  return {
    dataCentre: summary.dataCentre,
    ageMilliseconds: summary.ageMilliseconds,
    daemons: summary.daemons,
    lowestConfigurationRevision: Number(summary.lowestConfigurationRevision),
    lowestConfigurationDaemon: summary.lowestConfigurationDaemon,
    lowestRunnersRevision: Number(summary.lowestRunnersRevision),
    pools: summary.pools.map(poolNews),
  };
}

/**
 * @param summary - a data centre summary of the decisions.
 * @returns The protobuf message.
 */
export function toSummaryMessage(summary: Summary): DataCentreSummary {
  return create(DataCentreSummarySchema, {
    ...summary,
    lowestConfigurationRevision: BigInt(summary.lowestConfigurationRevision),
    lowestRunnersRevision: BigInt(summary.lowestRunnersRevision),
    pools: poolMessages(summary.pools),
  });
}

/**
 * @param record - the daemon's record.
 * @param news - the daemon's news, if they are known.
 * @returns The protobuf message with both.
 */
export function toMemberMessage(record: MemberRecord, news?: LocalNews): Member {
  return create(MemberSchema, {
    ...record,
    incarnation: BigInt(record.incarnation),
    version: BigInt(record.version),
    configurationRevision: BigInt(news?.configurationRevision ?? 0),
    configurationDigest: news?.configurationDigest ?? '',
    runnersRevision: BigInt(news?.runnersRevision ?? 0),
    pools: poolMessages(news?.pools ?? []),
  });
}

/**
 * @param from - the sender's name.
 * @param gossip - a message of the decisions.
 * @returns The protobuf message.
 */
export function toGossipMessage(from: string, gossip: Gossip): GossipMessage {
  return create(GossipMessageSchema, {
    from,
    kind: gossip.kind,
    members: gossip.members.map((record) => toMemberMessage(record)),
    pictureHash: gossip.pictureHash,
    bucketHashes: [...gossip.bucketHashes],
    news: gossip.news.map((news) => ({
      ...news,
      incarnation: BigInt(news.incarnation),
      version: BigInt(news.version),
      configurationRevision: BigInt(news.configurationRevision),
      runnersRevision: BigInt(news.runnersRevision),
      pools: poolMessages(news.pools),
    })),
    summaries: gossip.summaries.map(toSummaryMessage),
    configurationRevision: BigInt(gossip.configurationRevision),
    runnersRevision: BigInt(gossip.runnersRevision),
  });
}

/**
 * Reads a peer's message. Records with an unknown state or without a name or address are left out, because
 * newer daemons may use further states during an upgrade.
 *
 * @param message - the protobuf message.
 * @returns The message of the decisions.
 */
export function fromGossipMessage(message: GossipMessage): Gossip {
  return {
    kind: isKind(message.kind) ? message.kind : 'delta',
    members: message.members.map(memberRecord).filter((record) => record !== undefined),
    pictureHash: message.pictureHash,
    bucketHashes: message.bucketHashes,
    news: message.news.map(memberNews),
    summaries: message.summaries.map(summaryOf),
    configurationRevision: Number(message.configurationRevision),
    runnersRevision: Number(message.runnersRevision),
  };
}
