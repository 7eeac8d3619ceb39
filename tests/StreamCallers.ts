/**
 * Callers of long streams that take a broken stream up again at another daemon, more than once.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import { countEvents } from '../standIns/site/siteStreams.js';

const DEADLINE_MILLISECONDS = 15_000;

/** From the start of a stream to that of the next one, in ms. */
const INTERVAL_MILLISECONDS = 50;

const MAXIMUM_TAKE_UPS = 8;

/** Time before a caller sends its request again, in ms; the callers use the values in turn. */
const PAUSES_MILLISECONDS: readonly number[] = [600, 0, 600, 2_000, 600];

/** Callers that come back at once do so one time, and then after this time, in ms. */
const LEAST_PAUSE_MILLISECONDS = 600;

/** Share of the streams of callers in step whose first events are waited for, and how often that is looked at, in ms. */
const MOST_IN_STEP = 0.75;
const POLL_MILLISECONDS = 10;

const OK = 200;

const SECOND_MILLISECONDS = 1_000;

/** A request that resumes a stream. */
export interface TakeUp {
  /** Monotonic ms. */
  readonly sentAt: number;
  /** Whether enough runners of the stream's version served when it was sent and when its answer began. */
  readonly isOwed: boolean;
  /** Status of the answer; 0 if there was none. */
  readonly status: number;
}

/** A stream as its caller sees it. */
export interface CalledStream {
  readonly number: number;
  /** Monotonic ms. */
  readonly sentAt: number;
  /** Id of the attempt that brought its first event; empty before. */
  begunBy: string;
  /** Whole events so far. */
  body: string;
  isComplete: boolean;
  /** Whether a part of an answer has arrived. */
  isAnswered: boolean;
  attempts: number;
  readonly takeUps: TakeUp[];
}

/** Options of {@link StreamCallers}. */
export interface StreamCallersOptions {
  /** Returns the address at which a stream is sent or taken up. */
  addressOf: (position: { number: number; attempt: number; isTakeUp: boolean }) => string;
  /** Returns whether enough runners of a version serve, so that its streams have to go on. */
  serves: (version: string) => boolean;
  /** Time before a request is sent again, in ms, for the callers in turn. */
  pausesMilliseconds?: readonly number[];
}

/**
 * @param stream - a stream.
 * @returns The software versions of its events, in their order.
 */
export function versionsIn({ body }: Pick<CalledStream, 'body'>): string[] {
  const found = [...body.matchAll(/^data: .* by (\S+)$/gmu)];
  return [...new Set(found.map(([, version = '']) => version))];
}

/** An event that is broken off comes again. */
function wholeEvents(body: string): string {
  const end = body.lastIndexOf('\n\n');
  return end < 0 ? '' : body.slice(0, end + 2);
}

/** Begins streams at a steady rate, and follows each until it is complete or its deadline is over. */
export class StreamCallers {
  readonly streams: CalledStream[] = [];

  private readonly options: Required<StreamCallersOptions>;

  private readonly followed: Promise<void>[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - the daemons' addresses, and which versions serve.
   */
  constructor(options: StreamCallersOptions) {
    this.options = { pausesMilliseconds: PAUSES_MILLISECONDS, ...options };
  }

  /** Starts to begin streams. */
  start(): void {
    this.timer = setInterval(() => this.begin(), INTERVAL_MILLISECONDS);
  }

  /**
   * Begins streams at the same moment.
   *
   * @param count - how many.
   * @returns Once most of them have their first events.
   */
  async beginTogether(count: number): Promise<void> {
    for (let left = count; left > 0; left -= 1) this.begin();
    const isMost = () =>
      this.streams.filter(({ isAnswered }) => isAnswered).length >= count * MOST_IN_STEP;
    while (!isMost()) await wait(POLL_MILLISECONDS);
  }

  /** Begins no further streams; resolves when all have ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.followed);
  }

  private begin(): void {
    const stream: CalledStream = {
      number: this.streams.length,
      sentAt: performance.now(),
      begunBy: '',
      body: '',
      isComplete: false,
      isAnswered: false,
      attempts: 0,
      takeUps: [],
    };
    this.streams.push(stream);
    this.followed.push(this.follow(stream));
  }

  private async follow(stream: CalledStream): Promise<void> {
    const { pausesMilliseconds: pauses } = this.options;
    const pause = pauses[stream.number % pauses.length] ?? 0;
    for (;;) {
      const answer = await this.attempt(stream);
      if (stream.isComplete || stream.takeUps.length === MAXIMUM_TAKE_UPS) return;
      const asked = Number(answer?.headers['retry-after'] ?? 0) * SECOND_MILLISECONDS;
      const least = stream.attempts > 1 ? LEAST_PAUSE_MILLISECONDS : 0;
      await wait(Math.max(pause, asked, least));
      if (this.leftOf(stream) <= 0) return;
    }
  }

  private leftOf({ sentAt }: CalledStream): number {
    return Math.floor(sentAt + DEADLINE_MILLISECONDS - performance.now());
  }

  private async attempt(stream: CalledStream): Promise<SiteAnswer | undefined> {
    const { number, begunBy, attempts } = stream;
    const isTakeUp = begunBy !== '';
    const [version = ''] = versionsIn(stream);
    const id = `stream-${number}-attempt-${attempts + 1}`;
    const sentAt = performance.now();
    const isServedFrom = this.options.serves(version);
    let isServedThen: boolean | undefined;
    const answered = callSite({
      address: this.options.addressOf({ number, attempt: attempts, isTakeUp }),
      path: '/chat/a',
      body: `question of stream-${number}`,
      onData: () => {
        isServedThen = this.options.serves(version);
        Object.assign(stream, { isAnswered: true });
      },
      headers: {
        'Attempt-Id': id,
        Model: 'm',
        'Deadline-Ms': String(this.leftOf(stream)),
        'Prompt-Prefix': `a${number % 24}:30,${number.toString(16)}f:10`,
        ...(isTakeUp && { Resumes: begunBy, 'Last-Event-Id': String(countEvents(stream.body)) }),
      },
    }).catch(() => undefined);
    const isOver = wait(this.leftOf(stream), undefined, { ref: false });
    const answer = await Promise.race([answered, isOver]);
    Object.assign(stream, { attempts: attempts + 1 });
    if (isTakeUp) {
      const isOwed = isServedFrom && (isServedThen ?? this.options.serves(version));
      stream.takeUps.push({ sentAt, isOwed, status: answer?.status ?? 0 });
    }
    if (answer?.status !== OK) return answer;
    const body = stream.body + wholeEvents(answer.body);
    if (!isTakeUp && body !== '') Object.assign(stream, { begunBy: id });
    Object.assign(stream, { body, isComplete: answer.isComplete });
    return answer;
  }
}
