/**
 * Parses the fields of a `POST /v1/chat/completions` body that routing needs. All other fields are forwarded to the
 * engine without a check.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';

import type { Findings } from '../findings/Findings.js';
import { parseJsonBody } from './jsonText.js';

/** Estimated bytes of prompt text per token: roughly right for European languages, and cheap to compute. */
const BYTES_PER_TOKEN = 4;

/** Estimated tokens of an image or sound in a prompt. An estimate by its bytes would be far too high. */
const TOKENS_PER_MEDIA_PART = 512;

const MAXIMUM_MODEL_LENGTH = 256;
const MAXIMUM_MESSAGES = 100_000;
const MAXIMUM_GENERATED_TOKENS = 10_000_000;
const MAXIMUM_CHOICES = 128;
/** Characters of the base64url hash that are kept. */
const CHAT_HASH_LENGTH = 22;

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });

const message = z.looseObject({
  role: z.enum(['system', 'developer', 'user', 'assistant', 'tool', 'function']),
  content: z
    .union([z.string(), z.array(contentPart)], { error: 'must be a string or a list of parts' })
    .nullish(),
});

const tokens = z.int().positive().max(MAXIMUM_GENERATED_TOKENS).nullish();

const chatBody = z.looseObject({
  model: z.string().min(1).max(MAXIMUM_MODEL_LENGTH),
  messages: z.array(message).min(1).max(MAXIMUM_MESSAGES),
  stream: z.boolean().nullish(),
  max_tokens: tokens,
  max_completion_tokens: tokens,
  n: z.int().positive().max(MAXIMUM_CHOICES).nullish(),
});

type ChatBody = z.infer<typeof chatBody>;
type ChatMessage = ChatBody['messages'][number];

/** Fields of a chat request that routing needs. */
export interface ChatRequest {
  readonly model: string;
  readonly streaming: boolean;
  /** Estimated tokens of the prompt: a quarter of its bytes, plus a constant for each image or sound. */
  readonly promptTokens: number;
  /** Upper limit of the tokens to generate, for all choices together. */
  readonly maximumTokens: number;
  /** Hash of the opening of the prompt; it does not change as the chat grows. */
  readonly openingHash: string;
}

function formatFieldPath(path: readonly PropertyKey[]): string {
  const field = path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('');
  return field === '' ? 'body' : field.replace(/^\./u, '');
}

function messageText({ content }: ChatMessage): string {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('\n');
}

function countMediaParts({ content }: ChatMessage): number {
  if (!Array.isArray(content)) return 0;
  return content.filter((part) => part.text === undefined).length;
}

/**
 * Hashes the model and the messages up to and including the first one of the user. This is the longest part that
 * the first request of a chat has in common with all later ones.
 */
function hashOpening({ model, messages }: ChatBody): string {
  const firstUserIndex = messages.findIndex(({ role }) => role === 'user');
  const opening = firstUserIndex < 0 ? messages.slice(0, 1) : messages.slice(0, firstUserIndex + 1);
  const hash = createHash('sha256');
  for (const part of [model, ...opening.flatMap((entry) => [entry.role, messageText(entry)])]) {
    // The length prefix gives ["ab", "c"] and ["a", "bc"] different hashes.
    hash.update(`${part.length}:`).update(part);
  }
  return hash.digest('base64url').slice(0, CHAT_HASH_LENGTH);
}

function estimatePromptTokens({ messages }: ChatBody, bodyBytes: number): number {
  const mediaParts = messages.reduce((sum, entry) => sum + countMediaParts(entry), 0);
  if (mediaParts === 0) return Math.ceil(bodyBytes / BYTES_PER_TOKEN);
  const textBytes = messages.reduce((sum, entry) => sum + Buffer.byteLength(messageText(entry)), 0);
  return Math.ceil(textBytes / BYTES_PER_TOKEN) + mediaParts * TOKENS_PER_MEDIA_PART;
}

/**
 * Parses and validates the body of a chat request and collects every mistake.
 *
 * @param body - the bytes as received.
 * @param findings - receives the mistakes, each with the path of its field.
 * @param defaultMaximumTokens - the number of tokens to generate that is assumed if the body sets no limit.
 * @returns The fields that routing needs, or `undefined` if there is a mistake.
 */
export function readChatRequest(
  body: Uint8Array,
  findings: Findings,
  defaultMaximumTokens: number,
): ChatRequest | undefined {
  const value = parseJsonBody(body, findings);
  if (value === undefined) return undefined;
  const checked = chatBody.safeParse(value);
  if (!checked.success) {
    for (const issue of checked.error.issues) {
      findings.add({ field: formatFieldPath(issue.path) }, issue.message);
    }
    return undefined;
  }
  const { data } = checked;
  const tokensPerChoice = data.max_completion_tokens ?? data.max_tokens ?? defaultMaximumTokens;
  return {
    model: data.model,
    streaming: data.stream === true,
    promptTokens: estimatePromptTokens(data, body.byteLength),
    maximumTokens: tokensPerChoice * (data.n ?? 1),
    openingHash: hashOpening(data),
  };
}
