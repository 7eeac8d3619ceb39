/**
 * The messages and actions of the membership decisions. All of them are JSON data, so that sessions can be
 * recorded and replayed.
 */
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import type membershipChart from './membership.chart.json';
import type selfChart from './selfMembership.chart.json';

/** The state of a daemon as seen by another one; see membership.chart.json. */
export type MemberState = StateOf<typeof membershipChart>;

/** Events of membership.chart.json. */
export type MemberEvent = EventOf<typeof membershipChart>;

/** This daemon's own state; see selfMembership.chart.json. */
export type SelfState = StateOf<typeof selfChart>;

/** Events of selfMembership.chart.json. */
export type SelfEvent = EventOf<typeof selfChart>;

/** Identity, addresses and state of a daemon. Records change rarely and are sent to all daemons. */
export interface MemberRecord {
  readonly daemonId: string;
  /**
   * Wall-clock milliseconds at the start of the process; raised if the fleet knows a newer one of this name.
   */
  readonly incarnation: number;
  /** Raised only by the daemon itself; a greater version refutes other daemons' records of it. */
  readonly version: number;
  readonly state: MemberState;
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly firm: string;
}

/** Load of one service's runners behind the gates of one daemon or of one data centre. */
export interface PoolNews {
  readonly service: string;
  readonly runners: number;
  /** Sum of the runners' loads, in tokens of work. */
  readonly load: number;
  readonly lightestRunner: string;
  readonly lightestLoad: number;
}

/** The news of a daemon: its load and revisions, which change all the time. */
export interface LocalNews {
  readonly configurationRevision: number;
  readonly configurationDigest: string;
  readonly runnersRevision: number;
  readonly pools: readonly PoolNews[];
}

/** News of one daemon, sent within its data centre. */
export interface MemberNews extends LocalNews {
  readonly daemonId: string;
  readonly incarnation: number;
  /** Grows with each issue of the news; not the version of the record. */
  readonly version: number;
  /** Age when it was sent. */
  readonly ageMilliseconds: number;
}

/** The summary of one data centre's news, sent to the other data centres. */
export interface Summary {
  readonly dataCentre: string;
  /** Age when it was sent. */
  readonly ageMilliseconds: number;
  readonly daemons: number;
  readonly lowestConfigurationRevision: number;
  /** The daemon with the lowest configuration revision. */
  readonly lowestConfigurationDaemon: string;
  readonly lowestRunnersRevision: number;
  readonly pools: readonly PoolNews[];
}

/**
 * `delta`: recent changes; `compare`: carries bucket hashes, and the receiver sends the records that differ;
 * `full`: asks for all members.
 */
export type GossipKind = 'delta' | 'compare' | 'full';

/** A gossip message; calls and answers have the same form. */
export interface Gossip {
  readonly kind: GossipKind;
  readonly members: readonly MemberRecord[];
  /** Hash of the members that the sender has as present. */
  readonly pictureHash: number;
  /** Hashes of the parts of that set; empty unless the kind is `compare`. */
  readonly bucketHashes: readonly number[];
  readonly news: readonly MemberNews[];
  readonly summaries: readonly Summary[];
  /** Revisions that the sender itself has in force, and that can be pulled from it. */
  readonly configurationRevision: number;
  readonly runnersRevision: number;
}

/**
 * An entry of the platform's list of instances. The list lags, so it proves neither that a daemon is alive nor
 * dead.
 */
export interface ListedInstance {
  readonly daemonId: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** Inputs of the membership decisions. */
export type MembershipMessage =
  /** The daemon starts; its peer server listens already. */
  | { readonly kind: 'start'; readonly seeds: readonly string[] }
  /** A peer called; the `answer` action has the same exchange number. */
  | {
      readonly kind: 'gossip_received';
      readonly exchange: number;
      readonly from: string;
      readonly gossip: Gossip;
    }
  | {
      readonly kind: 'gossip_answered';
      readonly probe: number;
      readonly from: string;
      readonly gossip: Gossip;
    }
  /** `refused`: the host refused the connection, so the process has ended or is still starting. */
  | { readonly kind: 'gossip_failed'; readonly probe: number; readonly refused: boolean }
  | { readonly kind: 'probe_for_ended'; readonly probe: number; readonly answered: boolean }
  | { readonly kind: 'local_news'; readonly news: LocalNews }
  | { readonly kind: 'platform_list'; readonly instances: readonly ListedInstance[] }
  /** The clocks show that the machine was suspended. */
  | { readonly kind: 'was_away'; readonly milliseconds: number }
  | { readonly kind: 'leave' }
  | { readonly kind: 'left' }
  | { readonly kind: 'tick' };

/** State changes of other daemons that are logged. */
export type MemberNote =
  'joined' | 'restarted' | 'suspected' | 'returned' | 'died' | 'leaving' | 'left';

/** Why a state change happened. */
export type NoteReason =
  'own_probe' | 'told_by_peer' | 'suspicion_timeout' | 'answered' | 'announced';

/** Outputs of the membership decisions. */
export type MembershipAction =
  /** Call a daemon; the result comes as `gossip_answered` or `gossip_failed`. The name is empty for a seed. */
  | {
      readonly kind: 'gossip';
      readonly probe: number;
      readonly daemonId: string;
      readonly peerAddress: string;
      readonly gossip: Gossip;
      readonly timeoutMilliseconds: number;
    }
  | { readonly kind: 'answer'; readonly exchange: number; readonly gossip: Gossip }
  /** Ask the daemon `through` to probe another one; the result comes as `probe_for_ended`. */
  | {
      readonly kind: 'probe_for';
      readonly probe: number;
      readonly through: string;
      readonly throughAddress: string;
      readonly daemonId: string;
      readonly peerAddress: string;
      readonly timeoutMilliseconds: number;
    }
  /** The record or the news of a daemon changed; it may be this daemon. */
  | {
      readonly kind: 'member_changed';
      readonly member: MemberRecord;
      readonly news: LocalNews | undefined;
    }
  | { readonly kind: 'member_forgotten'; readonly daemonId: string }
  | { readonly kind: 'summary_changed'; readonly summary: Summary }
  /** Pull a newer document from the daemon that has it in force. */
  | {
      readonly kind: 'newer_revision';
      readonly document: 'configuration' | 'runners';
      readonly revision: number;
      readonly daemonId: string;
      readonly peerAddress: string;
    }
  | { readonly kind: 'joined'; readonly members: number }
  /** After a pause this daemon must not rely on its leases, gates and counts any more. */
  | { readonly kind: 'stepped_back'; readonly awayMilliseconds: number }
  | { readonly kind: 'resumed'; readonly reason: 'reconnected' | 'gave_up' }
  /** This daemon raised its version because a peer had it in another state. */
  | { readonly kind: 'refuted'; readonly claim: MemberState; readonly version: number }
  /**
   * A peer has a newer incarnation of this daemon: two daemons share the name, or the wall clock was set back.
   */
  | { readonly kind: 'incarnation_raised'; readonly incarnation: number }
  | {
      readonly kind: 'note';
      readonly note: MemberNote;
      readonly daemonId: string;
      readonly reason: NoteReason;
    };
