/**
 * Messages into and actions out of the decisions about a lease. All of it is JSON data, so that sessions can
 * be recorded.
 */
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import type chart from './lease.chart.json';

/** States of `lease.chart.json`. */
export type LeaseState = StateOf<typeof chart>;

/** Events of `lease.chart.json`. */
export type LeaseEvent = EventOf<typeof chart>;

/** A holder's permission to give orders, limited in time. */
export interface Authority {
  /** The fencing token: the modified revision of the lease's key. Each new holder has a higher one. */
  readonly token: number;
  /** Monotonic time in milliseconds from which the permission is void. */
  readonly until: number;
}

/** The value of the lease's key in the store. */
export interface LeaseClaim {
  /** Name and incarnation of the daemon that wrote the key, mainly for people who read it. */
  readonly holder: string;
  /** Unique for each attempt, so that a daemon recognizes its own write after the answer was lost. */
  readonly nonce: string;
}

/** Result of a read of the lease's key. */
export type LeaseReadResult =
  | {
      readonly kind: 'found';
      readonly claim: LeaseClaim;
      /** The fencing token of the current holder. */
      readonly modifiedRevision: number;
      readonly storeRevision: number;
    }
  | { readonly kind: 'absent'; readonly storeRevision: number }
  | { readonly kind: 'failed'; readonly reason: string };

/** Result of the write of the lease's key. */
export type LeaseWriteResult =
  | { readonly kind: 'committed'; readonly revision: number }
  | Extract<LeaseReadResult, { kind: 'found' | 'absent' }>
  /** The answer was lost: the write may have taken effect, or may still do so. */
  | { readonly kind: 'unsure'; readonly reason: string }
  | { readonly kind: 'failed'; readonly reason: string };

/** Result of the grant or the renewal of a store lease. */
export type LeaseTermResult =
  | {
      readonly kind: 'granted';
      readonly leaseId: string;
      readonly timeToLiveMilliseconds: number;
    }
  | { readonly kind: 'lost' }
  | { readonly kind: 'failed'; readonly reason: string };

/** Input of the decisions about a lease. `call` is the number of the action that is answered. */
export type LeaseMessage =
  | { readonly kind: 'tick' }
  /** This daemon's place in the rendezvous order of possible holders, from 0; -1 if it is not one of them. */
  | { readonly kind: 'lease_rank'; readonly rank: number }
  /** Whether the pool's engines refuse orders with an outdated fencing token. */
  | { readonly kind: 'lease_fencing'; readonly checked: boolean }
  | { readonly kind: 'lease_read'; readonly call: number; readonly reading: LeaseReadResult }
  | { readonly kind: 'lease_term'; readonly call: number; readonly term: LeaseTermResult }
  | { readonly kind: 'lease_written'; readonly call: number; readonly writing: LeaseWriteResult }
  /** The wall clock advanced while the monotonic clock stood still: the instance was suspended. */
  | { readonly kind: 'clock_jumped' }
  /** An engine refused this holder's token, which shows that there is a newer holder. */
  | { readonly kind: 'fenced' }
  /** The daemon is stopping as planned and releases the lease. */
  | { readonly kind: 'release' };

/** Names of the log events that the decisions write; defined in ordersFeature.ts. */
export type LeaseLogEvent =
  'leaseAcquired' | 'leaseHeld' | 'leaseLost' | 'leaseFailed' | 'leaseUnsure' | 'leaseReleased';

/** Output of the decisions about a lease. */
export type LeaseAction =
  | { readonly kind: 'read_lease'; readonly call: number }
  | {
      readonly kind: 'grant_lease';
      readonly call: number;
      readonly timeToLiveMilliseconds: number;
    }
  | {
      readonly kind: 'write_lease';
      readonly call: number;
      readonly leaseId: string;
      readonly claim: LeaseClaim;
    }
  | { readonly kind: 'renew_lease'; readonly call: number; readonly leaseId: string }
  /** Has no result message: a lease that could not be revoked expires by itself. */
  | { readonly kind: 'revoke_lease'; readonly leaseId: string }
  | {
      readonly kind: 'report';
      readonly event: LeaseLogEvent;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };
