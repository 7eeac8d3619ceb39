/**
 * Ensures that the store holds the secret with which the daemons of the fleet authenticate each other's messages.
 */
import { randomBytes } from 'node:crypto';

import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** Length of the secret; it is as hard to guess as the seal of a message. */
const SECRET_BYTES = 24;

/** Interval between proposals until the store returns a secret, in ms. */
const PROPOSAL_MILLISECONDS = 2_000;

/** Only the first listed daemon proposes a secret; once it has been missing for this long, any daemon does. In ms. */
const ANY_DAEMON_AFTER_MILLISECONDS = 4_000;

/** Options of a {@link FleetSecretProposer}. */
export interface FleetSecretProposerOptions {
  store: Pick<FleetStore, 'proposeSecret'>;
  clock: Clock;
  log: Log;
}

/** Proposes a random secret to the store if it holds none. */
export class FleetSecretProposer {
  private readonly options: FleetSecretProposerOptions;

  /** Since when the store is known to hold no secret, monotonic ms. */
  private missingSince: number | undefined;

  private proposedAt = Number.NEGATIVE_INFINITY;

  /** Whether the store may lack the secret because it has been restored from an older copy. */
  private isLost = false;

  /**
   * @param options - the store that holds the secret.
   */
  constructor(options: FleetSecretProposerOptions) {
    this.options = options;
  }

  /** Lets the first listed daemon propose the known secret again, so that a daemon that starts gets no other one. */
  handleRestore(): void {
    this.isLost = true;
    this.proposedAt = Number.NEGATIVE_INFINITY;
  }

  /**
   * Proposes a secret if the store has none or may have lost it. The store keeps the first proposal and returns it with
   * the next changes.
   * Only the first listed daemon proposes: if all daemons of a fleet that starts at once did, there would be 195 writes
   * for one secret.
   *
   * @param known - the secret, once the store has returned it.
   * @param isFirst - whether this daemon is the first one in the list of daemons.
   */
  ensure(known: string | undefined, isFirst: () => boolean): void {
    if (known !== undefined && !this.isLost) return;
    const { store, clock, log } = this.options;
    const now = clock.monotonicMilliseconds();
    if (known === undefined) this.missingSince ??= now;
    const isOverdue = now - (this.missingSince ?? now) >= ANY_DAEMON_AFTER_MILLISECONDS;
    if ((!isOverdue && !isFirst()) || now - this.proposedAt < PROPOSAL_MILLISECONDS) return;
    this.proposedAt = now;
    const secret = known ?? randomBytes(SECRET_BYTES).toString('base64');
    store
      .proposeSecret(secret)
      .then(() => {
        this.isLost = false;
      })
      .catch((error: Error) => {
        const fields = { during: 'secret', error: error.message };
        log.write(syncLogEvents.registrationFailed, fields);
      });
  }
}
