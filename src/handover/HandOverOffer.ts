/**
 * A request that is offered to one other daemon. That daemon confirms before it gets the request, so that any number of
 * offers may be open at once, and one that is withdrawn has certainly not run.
 *
 * The connection of an offer that is refused or withdrawn stays open for the next one. A process accepts one connection
 * in each turn of its event loop. If a busy daemon is asked on a new connection each time, those whose offers were
 * withdrawn long ago are accepted first, and none is accepted in time.
 */
import { request as sendRequest } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';

import { onceUnanswered } from '../http/onceUnanswered.js';
import { parseAddress } from '../http/parseAddress.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { HAND_OVER_PATH } from './handOverHeaders.js';

/** How long a withdrawn offer is waited for, so that its connection can be used again; in ms. */
const WITHDRAWN_MILLISECONDS = 5_000;

/** Receives the events of an offer. */
export abstract class HandOverObserver {
  /** The daemon would take the request. */
  abstract accepted(offer: HandOverOffer): void;

  /** The daemon refused, or could not be reached. */
  abstract refused(offer: HandOverOffer): void;

  /** The daemon had closed the connection because it was idle; the daemon may be asked again. */
  abstract missed(offer: HandOverOffer): void;

  /** The daemon has not answered in time; it still may. */
  abstract delayed(offer: HandOverOffer): void;

  /** The head of the answer to the request has arrived. */
  abstract answered(offer: HandOverOffer, answer: IncomingMessage): void;

  /** The daemon broke off after it had got the request. */
  abstract broken(offer: HandOverOffer): void;
}

/** Options of a {@link HandOverOffer}. */
export interface HandOverOfferOptions {
  peer: DaemonEntry;
  agent: Agent;
  /** Time until the daemon counts as delayed, in ms. */
  delayMilliseconds: number;
  observer: HandOverObserver;
}

/** Asks one daemon, and sends the request if it is to get it. */
export class HandOverOffer {
  readonly peer: DaemonEntry;

  private readonly observer: HandOverObserver;

  private readonly outgoing: ClientRequest;

  private timer: NodeJS.Timeout;

  private state: 'open' | 'given' | 'withdrawn' | 'over' = 'open';

  /**
   * @param options - the daemon and the observer.
   */
  constructor({ peer, agent, delayMilliseconds, observer }: HandOverOfferOptions) {
    this.peer = peer;
    this.observer = observer;
    const { host, port } = parseAddress(peer.peerAddress);
    this.outgoing = sendRequest({
      host,
      port,
      method: 'POST',
      path: HAND_OVER_PATH,
      agent,
      headers: { 'Transfer-Encoding': 'chunked', Expect: '100-continue' },
    });
    this.outgoing.once('continue', () => this.handleConfirmation());
    this.outgoing.once('response', (answer) => this.handleAnswer(answer));
    this.outgoing.on('error', () => this.handleError());
    onceUnanswered(this.outgoing, () => this.handleError());
    // A confirmation that has arrived while this process was busy is read before the timer counts.
    this.timer = setTimeout(() => setImmediate(() => this.handleDelay()), delayMilliseconds);
  }

  /**
   * Sends the request to the daemon, which has confirmed.
   *
   * @param message - the encoded request.
   */
  give(message: Buffer): void {
    clearTimeout(this.timer);
    this.state = 'given';
    this.outgoing.end(message);
  }

  /** Withdraws the offer; a daemon that has got the request stops its work. */
  cancel(): void {
    clearTimeout(this.timer);
    if (this.state === 'open') {
      this.state = 'withdrawn';
      this.timer = setTimeout(() => this.outgoing.destroy(), WITHDRAWN_MILLISECONDS).unref();
    } else if (this.state === 'given') {
      this.state = 'over';
      this.outgoing.destroy();
    }
  }

  private handleConfirmation(): void {
    if (this.state === 'open') this.observer.accepted(this);
    // A daemon that has confirmed takes a message without content for a withdrawal.
    if (this.state === 'withdrawn') this.outgoing.end();
  }

  private handleAnswer(answer: IncomingMessage): void {
    if (this.state === 'given') {
      this.observer.answered(this, answer);
      return;
    }
    answer.resume();
    this.outgoing.end();
    this.endOffer(() => this.observer.refused(this));
  }

  private handleError(): void {
    if (this.state === 'given') this.observer.broken(this);
    else if (this.outgoing.reusedSocket) this.endOffer(() => this.observer.missed(this));
    else this.endOffer(() => this.observer.refused(this));
  }

  private endOffer(report: () => void): void {
    clearTimeout(this.timer);
    const wasOpen = this.state === 'open';
    this.state = 'over';
    if (wasOpen) report();
  }

  private handleDelay(): void {
    if (this.state === 'open') this.observer.delayed(this);
  }
}
