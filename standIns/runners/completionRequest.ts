/**
 * A chat completion as an engine stand-in takes it, and the answer that it gives.
 */
import murmurhash from 'murmurhash';
import { z } from 'zod';

const DEFAULT_MAXIMUM_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

/**
 * @param body - a request's body.
 * @returns What tells the request's answer from any other's.
 */
export function requestHash(body: Uint8Array): string {
  return murmurhash.v3(new TextDecoder().decode(body)).toString(16);
}

/**
 * @param hash - of the request.
 * @param index - of the token, from 0.
 * @returns The token's text.
 */
export function tokenText(hash: string, index: number): string {
  return `${hash}#${index} `;
}

/** `POST /v1/chat/completions`. */
export const completionSchema = z.object({
  model: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(100_000).default(DEFAULT_MAXIMUM_TOKENS),
});

/** See {@link completionSchema}. */
export type Completion = z.output<typeof completionSchema>;

/**
 * @param body - a request's body.
 * @param tokens - how many tokens it asks for.
 * @returns The answer that a stand-in gives: it tells which request it belongs to, token by token.
 */
export function expectedAnswer(body: Uint8Array, tokens: number): string {
  const hash = requestHash(body);
  return Array.from({ length: tokens }, (_, index) => tokenText(hash, index)).join('');
}

/**
 * @param completion - the request.
 * @returns An estimate of its prompt's tokens, at least 1.
 */
export function promptTokensOf({ messages }: Completion): number {
  const characters = messages.reduce((sum, { content }) => sum + content.length, 0);
  return Math.max(1, Math.ceil(characters / CHARACTERS_PER_TOKEN));
}
