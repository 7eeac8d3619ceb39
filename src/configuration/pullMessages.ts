/**
 * Encodes and decodes documents sent between daemons: the binary content of `PullDocument` responses.
 */
import { create, fromBinary, fromJson, toBinary, toJson } from '@bufbuild/protobuf';
import type { JsonObject } from '@bufbuild/protobuf';

import {
  ConfigurationChangeSchema,
  ConfigurationChangesSchema,
  RunnerListChangeSchema,
  RunnerListChangesSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import { PullDocumentResponseSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { PullDocumentResponse } from '../generated/baobabdock/v1/peers_pb.js';
import { DOCUMENT_NAMES } from './configurationTypes.js';
import type { DocumentUpdate, DocumentName } from './configurationTypes.js';

const LENIENT = { ignoreUnknownFields: true } as const;

/**
 * @param text - a document name received from a peer.
 * @returns Whether it is the name of a known document.
 */
export function isDocumentName(text: string): text is DocumentName {
  return (DOCUMENT_NAMES as readonly string[]).includes(text);
}

function encodeChanges(
  document: DocumentName,
  revision: number,
  changes: readonly JsonObject[],
): Uint8Array {
  if (document === 'configuration') {
    const messages = changes.map((json) => fromJson(ConfigurationChangeSchema, json, LENIENT));
    const all = create(ConfigurationChangesSchema, { changes: messages });
    return toBinary(ConfigurationChangesSchema, all);
  }
  const messages = changes.map((json) => fromJson(RunnerListChangeSchema, json, LENIENT));
  const all = create(RunnerListChangesSchema, { revision: BigInt(revision), changes: messages });
  return toBinary(RunnerListChangesSchema, all);
}

function decodeChanges(document: DocumentName, content: Uint8Array): JsonObject[] {
  if (document === 'configuration')
    return fromBinary(ConfigurationChangesSchema, content).changes.map(
      (change) => toJson(ConfigurationChangeSchema, change) as JsonObject,
    );
  return fromBinary(RunnerListChangesSchema, content).changes.map(
    (change) => toJson(RunnerListChangeSchema, change) as JsonObject,
  );
}

/**
 * Encodes an update for a peer.
 *
 * @param document - the document's name.
 * @param answer - the update.
 * @returns The response message; its size determines the traffic of a pull.
 */
export function encodeUpdate(document: DocumentName, answer: DocumentUpdate): PullDocumentResponse {
  const { kind, revision, digest } = answer;
  const common = { kind, revision: BigInt(revision), digest };
  if (answer.kind === 'whole')
    return create(PullDocumentResponseSchema, {
      ...common,
      content: Buffer.from(answer.whole, 'base64'),
    });
  if (answer.kind === 'changes') {
    const content = encodeChanges(document, revision, answer.changes);
    return create(PullDocumentResponseSchema, { ...common, content });
  }
  return create(PullDocumentResponseSchema, common);
}

/**
 * Decodes a peer's response.
 *
 * @param document - the document's name.
 * @param response - the response message.
 * @returns The update for the decisions.
 * @throws {@link RangeError} for an unknown kind; the codec's own errors for malformed content.
 */
export function decodeUpdate(
  document: DocumentName,
  { kind, revision, digest, content }: PullDocumentResponse,
): DocumentUpdate {
  const common = { revision: Number(revision), digest };
  if (kind === 'same') return { kind, ...common };
  if (kind === 'whole') return { kind, ...common, whole: Buffer.from(content).toString('base64') };
  if (kind === 'changes') return { kind, ...common, changes: decodeChanges(document, content) };
  throw new RangeError(
    `a peer answered a pull with the unknown kind ${kind}; expected same, whole or changes`,
  );
}
