/**
 * Event ids of a stream: one signed token for the whole stream, followed by the chunk's number
 * and an authentication tag for that number.
 *
 * Without the tag a caller could name a chunk that was never sent. The runner would then be read
 * in vain again and again and counted as failing; the symptom would be that healthy runners are
 * passed over. A tag costs an eighth of a token, which matters because chunks are the most
 * frequent events in a daemon.
 */
import type { ResumeToken } from '../generated/baobabdock/v1/peers_pb.js';
import { ResumeTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { SignedTokens } from '../peers/SignedTokens.js';

/** Identifies a stream: its owner, and the attempt and runner that produce it. */
export type IdentifiedStream = Pick<
  ResumeToken,
  'attemptId' | 'runnerId' | 'service' | 'clientAccount' | 'requestId'
>;

/** Contents of a verified event id. */
export interface VerifiedEventId {
  readonly token: ResumeToken;
  /** Number of the chunk that the id belongs to, from 1. */
  readonly sequence: number;
}

/** Format of an event id. Numbers have no leading zeros, so that each chunk has exactly one id. */
const EVENT_ID_PATTERN =
  /^(?<tagged>(?<token>[\w-]+)\.(?<sequence>[1-9]\d{0,8}))\.(?<tag>[\w-]+)$/u;

/** Creates the event ids of one attempt's chunks. */
export class EventIds {
  private readonly tokens: SignedTokens;

  private readonly prefix: string;

  /**
   * @param tokens - signs the token and the tags.
   * @param stream - the stream that the ids belong to.
   */
  constructor(tokens: SignedTokens, stream: IdentifiedStream) {
    this.tokens = tokens;
    this.prefix = `${tokens.sign('resume', ResumeTokenSchema, stream)}.`;
  }

  /**
   * @param sequence - the chunk's number, from 1.
   * @returns The event id of the chunk.
   */
  of(sequence: number): string {
    const tagged = this.prefix + String(sequence);
    return `${tagged}.${this.tokens.tag('resume-event', tagged)}`;
  }
}

/**
 * Verifies event ids. The token of the last verified id is cached, so that further ids of the
 * same stream only need their tag checked.
 */
export class EventIdVerifier {
  private readonly tokens: SignedTokens;

  private lastTokenText = '';

  private lastToken: ResumeToken | undefined;

  /**
   * @param tokens - verifies tokens and tags.
   */
  constructor(tokens: SignedTokens) {
    this.tokens = tokens;
  }

  /**
   * @param eventId - the id sent by a caller or another daemon.
   * @returns The contents of the id, or `undefined` if it is malformed or was not signed by this
   *   fleet.
   */
  verify(eventId: string): VerifiedEventId | undefined {
    const groups = EVENT_ID_PATTERN.exec(eventId)?.groups;
    if (!groups || !this.tokens.verifyTag('resume-event', groups.tagged!, groups.tag!))
      return undefined;
    const token = this.openToken(groups.token!);
    return token && { token, sequence: Number(groups.sequence) };
  }

  private openToken(text: string): ResumeToken | undefined {
    if (text === this.lastTokenText) return this.lastToken;
    this.lastToken = this.tokens.open('resume', ResumeTokenSchema, text);
    this.lastTokenText = text;
    return this.lastToken;
  }
}
