/**
 * Mutual authentication between daemons: signs the tokens of calls and answers, and verifies those of other daemons.
 */
import { randomBytes } from 'node:crypto';

import type { PeerToken } from '../generated/baobabdock/v1/peers_pb.js';
import { PeerTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { Clock } from '../time/Clock.js';
import { NonceMemory } from './NonceMemory.js';
import type { SignedTokens } from './SignedTokens.js';

/** Options of {@link PeerCredentials}. */
export interface PeerCredentialsOptions {
  /** Name of this daemon. */
  daemonId: string;
  tokens: SignedTokens;
  clock: Clock;
  /** Maximum difference between the wall clocks of two daemons, in milliseconds. */
  maximumClockDifferenceMilliseconds?: number;
}

/**
 * Why a caller was refused. The reason is written to this daemon's log only and never sent to the caller.
 * `not_signed` means that the token was not signed with a secret of the fleet, or is for another daemon or method.
 * Daemon and method are signed but not sent, so these cases cannot be distinguished.
 */
export type CallerRefusalReason = 'not_signed' | 'clock_difference' | 'replayed';

/** Result of verifying a caller's token; `from` is the caller's name and `answer` the token for the answer. */
export type CallerVerification =
  | { readonly kind: 'accepted'; readonly from: string; readonly answer: string }
  | { readonly kind: 'refused'; readonly reason: CallerRefusalReason; readonly from?: string };

/** Fields that a token's signature covers, including those that are not sent. */
type CallFields = Pick<PeerToken, 'from' | 'to' | 'issuedAtMilliseconds' | 'nonce' | 'call'>;

/** A call's token, with the fields that are needed to verify the answer. */
export interface SignedCall {
  readonly token: string;
  readonly fields: CallFields;
}

const DEFAULT_MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 60_000;

/**
 * Length of a nonce in bytes. Callers choose nonces at random, so two can only be equal by chance. With too few bytes,
 * a fresh call would be refused as a replay, or an answer recorded from an earlier call would fit a later one. With 8
 * bytes, one call in 2^46 repeats a nonce among two full generations of the nonce memory (200,000 nonces), even if the
 * clock stands still. A recorded answer would also have to match in time, method and both names.
 */
const NONCE_BYTES = 8;

/**
 * Fields of the answer's token: caller and called daemon are swapped, and the fields that identify the call are those
 * of the call.
 */
function answerFields(fields: CallFields, from: string): CallFields {
  const { issuedAtMilliseconds, nonce, call } = fields;
  return { from, to: fields.from, issuedAtMilliseconds, nonce, call };
}

/** Signs and verifies the tokens of calls and answers between this daemon and others. */
export class PeerCredentials {
  private readonly daemonId: string;

  private readonly tokens: SignedTokens;

  private readonly clock: Clock;

  private readonly maximumClockDifference: number;

  private readonly nonces: NonceMemory;

  /**
   * @param options - the name, the secrets and the clock of this daemon.
   */
  constructor({
    daemonId,
    tokens,
    clock,
    maximumClockDifferenceMilliseconds = DEFAULT_MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS,
  }: PeerCredentialsOptions) {
    this.daemonId = daemonId;
    this.tokens = tokens;
    this.clock = clock;
    this.maximumClockDifference = maximumClockDifferenceMilliseconds;
    // A token is valid from one clock difference before its time of issue until one clock difference after it.
    this.nonces = new NonceMemory({ windowMilliseconds: 2 * maximumClockDifferenceMilliseconds });
  }

  /**
   * Signs the token of one call.
   *
   * @param to - name of the called daemon; empty if only its address is known.
   * @param call - name of the method, as {@link callOfPath} returns it.
   * @returns The token and its fields.
   */
  signCall(to: string, call: string): SignedCall {
    const nonce = randomBytes(NONCE_BYTES);
    const issuedAtMilliseconds = BigInt(Math.round(this.clock.wallMilliseconds()));
    const sent = { from: this.daemonId, issuedAtMilliseconds, nonce };
    const known = { to, call };
    const token = this.tokens.signCompact('peer', PeerTokenSchema, sent, known);
    return { token, fields: { ...sent, ...known } };
  }

  /**
   * Verifies the token of a caller.
   *
   * @param token - the token that the caller sent.
   * @param call - name of the called method.
   * @returns The caller's name and the token that authenticates this daemon's answer, or the reason for a refusal.
   */
  verifyCaller(token: string, call: string): CallerVerification {
    // This daemon's name and the method are filled in here and not read from the token. Otherwise a token for one
    // daemon could be used at another one, and the token of a gossip message could run a request.
    const open = (to: string) =>
      this.tokens.openCompact('peer', PeerTokenSchema, token, { to, call });
    const opened = open(this.daemonId) ?? open('');
    if (!opened) return { kind: 'refused', reason: 'not_signed' };
    const { from, to, issuedAtMilliseconds, nonce } = opened;
    if (!this.isRecent(opened)) return { kind: 'refused', reason: 'clock_difference', from };
    const isNew = this.nonces.addIfNew(
      this.clock.monotonicMilliseconds(),
      Buffer.from(nonce).toString('latin1'),
      Number(issuedAtMilliseconds),
    );
    if (!isNew) return { kind: 'refused', reason: 'replayed', from };
    // A caller that named this daemon knows all signed fields; one that had only an address has to be sent the name.
    const sent = to === '' ? { from: this.daemonId } : {};
    const known = answerFields(opened, this.daemonId);
    const answer = this.tokens.signCompact('peer-answer', PeerTokenSchema, sent, known);
    return { kind: 'accepted', from, answer };
  }

  /**
   * Verifies the token of an answer, since the address of the called daemon may meanwhile belong to another process.
   *
   * @param to - name of the called daemon; empty if only its address was known.
   * @param call - the call, as signed.
   * @param answer - the token of the answer.
   * @returns The name of the daemon that answered, or `undefined` if the token does not prove that the called daemon
   *   answered this call.
   */
  verifyAnswer(to: string, call: SignedCall, answer: string): string | undefined {
    const { from, ...rest } = answerFields(call.fields, to);
    const known = to === '' ? rest : { from, ...rest };
    const opened = this.tokens.openCompact('peer-answer', PeerTokenSchema, answer, known);
    return opened?.from;
  }

  private isRecent({ issuedAtMilliseconds }: PeerToken): boolean {
    const difference = Math.abs(this.clock.wallMilliseconds() - Number(issuedAtMilliseconds));
    return difference <= this.maximumClockDifference;
  }
}
