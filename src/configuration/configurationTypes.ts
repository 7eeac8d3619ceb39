/**
 * Messages and actions of the configuration's decisions. All of them are JSON data, so that sessions can be
 * recorded and replayed.
 */
import type { JsonObject } from '@bufbuild/protobuf';

/** The two documents that every daemon keeps a copy of. */
export const DOCUMENT_NAMES = ['configuration', 'runners'] as const;

/** Name of a synchronized document; see {@link DOCUMENT_NAMES}. */
export type DocumentName = (typeof DOCUMENT_NAMES)[number];

/**
 * Update of a document relative to the revision that the recipient has. It comes from a peer, a read of the
 * store or a watch. Changes are in the JSON form of their schema; a whole document is its protobuf encoding
 * in base64, because it can be megabytes large.
 */
export type DocumentUpdate =
  /** The source has no newer revision than the recipient. */
  | { readonly kind: 'same'; readonly revision: number; readonly digest: string }
  | {
      readonly kind: 'changes';
      /** Revision after all the changes. */
      readonly revision: number;
      readonly digest: string;
      readonly changes: readonly JsonObject[];
    }
  | {
      readonly kind: 'whole';
      readonly revision: number;
      readonly digest: string;
      readonly whole: string;
    };

/** A daemon's membership record, reduced to what the synchronization of documents needs. */
export interface MemberRevisions {
  readonly daemonId: string;
  /** Increases with every start of the daemon. */
  readonly incarnation: number;
  readonly peerAddress: string;
  readonly region: string;
  readonly dataCentre: string;
  /** Whether the daemon is alive: not suspected, leaving, dead or gone. */
  readonly alive: boolean;
  readonly configurationRevision: number;
  readonly configurationDigest: string;
  readonly runnersRevision: number;
}

/** Why a watch ended: connection lost, or its start revision compacted away by the store. */
export type WatchEnd = 'lost' | 'compacted';

/** Inputs of the decisions. */
export type ConfigurationMessage =
  | { readonly kind: 'tick' }
  /** The whole membership list, including this daemon. */
  | { readonly kind: 'members'; readonly members: readonly MemberRevisions[] }
  /** One membership record that arrived by gossip. */
  | { readonly kind: 'member_revision'; readonly member: MemberRevisions }
  /** A daemon reported the revision that it has in force. */
  | {
      readonly kind: 'peer_revision';
      readonly document: DocumentName;
      readonly daemonId: string;
      readonly revision: number;
    }
  | {
      readonly kind: 'platform_answered';
      readonly document: DocumentName;
      readonly answer: DocumentUpdate;
      /** Store revision at which the read happened: a watch continues from the next one. */
      readonly storeRevision: number;
    }
  | { readonly kind: 'platform_failed'; readonly document: DocumentName; readonly reason: string }
  | {
      readonly kind: 'watch_reported';
      readonly document: DocumentName;
      readonly answer: DocumentUpdate;
      readonly storeRevision: number;
    }
  | {
      readonly kind: 'watch_ended';
      readonly document: DocumentName;
      readonly end: WatchEnd;
      readonly reason: string;
    }
  | {
      readonly kind: 'pull_answered';
      readonly document: DocumentName;
      readonly from: string;
      readonly answer: DocumentUpdate;
    }
  | {
      readonly kind: 'pull_failed';
      readonly document: DocumentName;
      readonly from: string;
      readonly reason: string;
    }
  /** A peer requests a pull; answered by an `answer_pull` action with the same id. */
  | {
      readonly kind: 'pull_requested';
      readonly id: number;
      readonly document: DocumentName;
      readonly haveRevision: number;
    }
  /** This daemon committed a change to the store. */
  | { readonly kind: 'committed'; readonly answer: DocumentUpdate };

/** Where applied content came from; `platform` is a read of the store. */
export type DocumentSource = 'platform' | 'watch' | 'peer' | 'commit';

/** Log events that the decisions request; see configurationFeature.ts. */
export type ConfigurationReport =
  | 'applied'
  | 'behind_refused'
  | 'content_differs'
  | 'platform_failed'
  | 'pull_failed'
  | 'watch_started'
  | 'watch_stopped';

/** Outputs of the decisions. */
export type ConfigurationAction =
  | {
      readonly kind: 'read_platform';
      readonly document: DocumentName;
      readonly haveRevision: number;
      readonly haveDigest: string;
    }
  | {
      readonly kind: 'open_watch';
      readonly document: DocumentName;
      readonly fromStoreRevision: number;
    }
  | { readonly kind: 'close_watch'; readonly document: DocumentName }
  | {
      readonly kind: 'pull';
      readonly document: DocumentName;
      readonly daemonId: string;
      readonly peerAddress: string;
      readonly haveRevision: number;
    }
  | {
      readonly kind: 'answer_pull';
      readonly id: number;
      readonly document: DocumentName;
      readonly answer: DocumentUpdate;
    }
  /** The document in force on this daemon has changed. */
  | {
      readonly kind: 'applied';
      readonly document: DocumentName;
      readonly revision: number;
      readonly digest: string;
      readonly source: DocumentSource;
    }
  | {
      readonly kind: 'report';
      readonly event: ConfigurationReport;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
