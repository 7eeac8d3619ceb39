/**
 * Schemas of the JSON messages that runners send. A message that does not match its schema is rejected, because runners
 * are separate programs whose output cannot be relied on.
 */
import { z } from 'zod';

const count = z.number().int().nonnegative();

/** Token counts, in the format that existing clients of model engines use. */
export const usageSchema = z.object({
  prompt_tokens: count,
  completion_tokens: count,
  prompt_tokens_details: z.object({ cached_tokens: count }).optional(),
});

/** Data of the event that ends a complete stream. */
export const endEventSchema = z.object({
  attempt_id: z.string(),
  last_sequence: count,
  usage: usageSchema,
});

/** Data of the event that ends a failed stream. */
export const errorEventSchema = z.object({
  attempt_id: z.string(),
  message: z.string().max(2_000),
  resumable: z.boolean().default(false),
});

/** An answer that is not streamed; its other fields are passed to the caller unchecked. */
export const wholeAnswerSchema = z.object({ usage: usageSchema });

/** Answer to `GET /load`. */
export const loadSchema = z.object({
  load_tokens: z.number().nonnegative(),
  running: count,
  queued: count,
  age_milliseconds: z.number().nonnegative().default(0),
  tokens_per_second: z.number().nonnegative(),
});

/** Answer to `GET /cache/events`. */
export const cacheEventsSchema = z.object({
  events: z
    .array(
      z.object({
        number: count,
        kind: z.enum(['stored', 'evicted', 'cleared']),
        chat: z.string().max(500).optional(),
        cached_tokens: count.default(0),
      }),
    )
    .max(10_000),
});

/** Answer to `GET /state`. */
export const stateSchema = z.object({
  model: z.string(),
  versions: z.array(z.string()).max(1_000),
  adapters: z.array(z.string()).max(1_000),
  role: z.string(),
  loading: z.array(z.string()).max(1_000),
});

/** Answer to `POST /orders` that refuses an order because of an outdated fencing token. */
export const fencingRefusalSchema = z.object({ highest_fencing_token: count });

/** Answer to `POST /orders` that refuses an order for another reason. */
export const refusalSchema = z.object({ message: z.string().max(2_000) });

/** Answer to `PUT /cache/{chat}`. */
export const importedSchema = z.object({ cached_tokens: count });

/** Answer to `DELETE /attempts/{id}`. */
export const cancelledSchema = z.object({ known: z.boolean() });
