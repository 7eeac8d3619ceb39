/**
 * Converts between the types of PlatformStore.ts and the messages of etcd's published interface.
 */
import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';

import {
  Compare_CompareResult as CompareResult,
  Compare_CompareTarget as CompareTarget,
  TxnRequestSchema,
} from '../generated/etcd/etcdserverpb/rpc_pb.js';
import type {
  CompareSchema,
  RequestOpSchema,
  TxnRequest,
  TxnResponse,
} from '../generated/etcd/etcdserverpb/rpc_pb.js';
import { Event_EventType as EventType } from '../generated/etcd/mvccpb/kv_pb.js';
import type { Event, KeyValue } from '../generated/etcd/mvccpb/kv_pb.js';
import { PlatformStoreError } from './PlatformStore.js';
import type {
  StoreEntry,
  StoreFailure,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
  WatchEvent,
} from './PlatformStore.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * Encodes a key.
 *
 * @param key - a key.
 * @returns Its bytes in UTF-8.
 */
export function keyBytes(key: string): Uint8Array {
  return encoder.encode(key);
}

/**
 * Decodes a key.
 *
 * @param bytes - a key in UTF-8.
 * @returns The key.
 */
export function keyText(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}

/**
 * Computes the exclusive end of the range of all keys with a prefix.
 *
 * @param prefix - prefix of the keys; not empty, and its last byte is not the highest one.
 * @returns The first key after all keys with that prefix.
 */
export function rangeEnd(prefix: string): Uint8Array {
  const end = keyBytes(prefix);
  end[end.length - 1]! += 1;
  return end;
}

/**
 * Converts a key-value message.
 *
 * @param keyValue - the message.
 * @returns The entry.
 */
export function toEntry(keyValue: KeyValue): StoreEntry {
  return {
    key: keyText(keyValue.key),
    value: keyValue.value,
    modifiedRevision: Number(keyValue.modRevision),
  };
}

/**
 * Converts an event of a watch.
 *
 * @param event - the message.
 * @returns The event; none if the message has no key.
 */
export function toWatchEvents(event: Event): WatchEvent[] {
  if (!event.kv) return [];
  if (event.type === EventType.PUT) return [{ kind: 'put', entry: toEntry(event.kv) }];
  const { key, modRevision } = event.kv;
  return [{ kind: 'delete', key: keyText(key), revision: Number(modRevision) }];
}

function toCompare({
  key,
  modifiedRevision,
}: StoreTransaction['expected'][number]): MessageInitShape<typeof CompareSchema> {
  return {
    result: CompareResult.EQUAL,
    target: CompareTarget.MOD,
    key: keyBytes(key),
    targetUnion: { case: 'modRevision', value: BigInt(modifiedRevision) },
  };
}

function toRead(key: string): MessageInitShape<typeof RequestOpSchema> {
  return { request: { case: 'requestRange', value: { key: keyBytes(key) } } };
}

function toOperation(write: StoreWrite): MessageInitShape<typeof RequestOpSchema> {
  const key = keyBytes(write.key);
  if (write.kind === 'delete') return { request: { case: 'requestDeleteRange', value: { key } } };
  const lease = BigInt(write.leaseId ?? 0);
  return { request: { case: 'requestPut', value: { key, value: write.value, lease } } };
}

/**
 * Builds the request of a transaction.
 *
 * @param transaction - conditions and writes.
 * @returns The request; if a condition fails, it reads the keys of the conditions instead of writing.
 */
export function toTxnRequest({ expected, writes }: StoreTransaction): TxnRequest {
  return create(TxnRequestSchema, {
    compare: expected.map(toCompare),
    success: writes.map(toOperation),
    failure: expected.map(({ key }) => toRead(key)),
  });
}

/**
 * Converts the response to a transaction.
 *
 * @param answer - the response.
 * @returns The outcome of the transaction.
 */
export function toTransactionResult(answer: TxnResponse): TransactionResult {
  const revision = Number(answer.header?.revision ?? 0);
  if (answer.succeeded) return { kind: 'committed', revision };
  const current = answer.responses.flatMap(({ response }) =>
    response.case === 'responseRange' ? response.value.kvs.map(toEntry) : [],
  );
  return { kind: 'conflict', revision, current };
}

/** Status codes with which the store rejects a request without having applied it. */
const CODES_WITHOUT_EFFECT: ReadonlySet<Code> = new Set([
  Code.InvalidArgument,
  Code.FailedPrecondition,
  Code.NotFound,
  Code.OutOfRange,
  Code.PermissionDenied,
  Code.Unauthenticated,
  Code.Unimplemented,
]);

/** Kind of a call, which decides what its failure means: a failed `write` may have taken effect. */
export type CallKind = 'read' | 'write' | 'lease';

function failureOf(error: ConnectError, kind: CallKind): StoreFailure {
  if (error.code === Code.NotFound) return 'lease_lost';
  if (error.code === Code.InvalidArgument && error.message.includes('too large'))
    return 'too_large';
  if (kind === 'write' && !CODES_WITHOUT_EFFECT.has(error.code)) return 'unsure';
  if (error.code === Code.DeadlineExceeded) return 'timeout';
  return 'unavailable';
}

/**
 * Classifies the failure of a call. A write that was sent and not clearly rejected may have taken effect. If it were
 * reported as failed, the caller would repeat it, so it is `unsure`. That includes the status `Unavailable`, which a
 * member returns also for a proposal that another member may still commit.
 *
 * @param error - the error of a call that was sent.
 * @param kind - the kind of the call.
 * @returns The error to throw.
 */
export function toStoreError(error: unknown, kind: CallKind): PlatformStoreError {
  if (error instanceof PlatformStoreError) return error;
  const connectError = ConnectError.from(error);
  const failure = failureOf(connectError, kind);
  return new PlatformStoreError(failure, connectError.message, { cause: error });
}
