/**
 * Translates between the store's terms and the messages of etcd's published interface.
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
 * @param key - a key of ours.
 * @returns Its bytes.
 */
export function keyBytes(key: string): Uint8Array {
  return encoder.encode(key);
}

/**
 * @param bytes - a key as the service gives it.
 * @returns The key.
 */
export function keyText(bytes: Uint8Array): string {
  return decoder.decode(bytes);
}

/**
 * @param prefix - start of keys; not empty, and not ending in the highest byte.
 * @returns The first key after all keys with that prefix, as the interface wants a range's end.
 */
export function rangeEnd(prefix: string): Uint8Array {
  const end = keyBytes(prefix);
  end[end.length - 1]! += 1;
  return end;
}

/**
 * @param keyValue - a record of the service.
 * @returns The same as the store's entry.
 */
export function toEntry(keyValue: KeyValue): StoreEntry {
  return {
    key: keyText(keyValue.key),
    value: keyValue.value,
    modifiedRevision: Number(keyValue.modRevision),
  };
}

/**
 * @param event - an event of a watch.
 * @returns The same in the store's terms.
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
 * @param transaction - conditions and writes.
 * @returns The request; when a condition fails it reads the keys of the conditions instead.
 */
export function toTxnRequest({ expected, writes }: StoreTransaction): TxnRequest {
  return create(TxnRequestSchema, {
    compare: expected.map(toCompare),
    success: writes.map(toOperation),
    failure: expected.map(({ key }) => toRead(key)),
  });
}

/**
 * @param answer - the service's answer to a transaction.
 * @returns How the transaction ended.
 */
export function toTransactionResult(answer: TxnResponse): TransactionResult {
  const revision = Number(answer.header?.revision ?? 0);
  if (answer.succeeded) return { kind: 'committed', revision };
  const current = answer.responses.flatMap(({ response }) =>
    response.case === 'responseRange' ? response.value.kvs.map(toEntry) : [],
  );
  return { kind: 'conflict', revision, current };
}

/** Codes by which the service says that it looked at a request and did nothing. */
const WITHOUT_EFFECT: ReadonlySet<Code> = new Set([
  Code.InvalidArgument,
  Code.FailedPrecondition,
  Code.NotFound,
  Code.OutOfRange,
  Code.PermissionDenied,
  Code.Unauthenticated,
  Code.Unimplemented,
]);

/** Whether a call can change anything. */
export type CallKind = 'read' | 'write' | 'lease';

function failureOf(error: ConnectError, kind: CallKind): StoreFailure {
  if (error.code === Code.NotFound) return 'lease_lost';
  if (error.code === Code.InvalidArgument && error.message.includes('too large'))
    return 'too_large';
  if (kind === 'write' && !WITHOUT_EFFECT.has(error.code)) return 'unsure';
  if (error.code === Code.DeadlineExceeded) return 'timeout';
  return 'unavailable';
}

/**
 * Tells what a failed call means. A write that was sent and got no clear refusal may have taken effect:
 * calling it failed would make its author repeat it, so it is `unsure`, also for a plain `Unavailable`,
 * which a member says of a proposal that another member may still commit.
 *
 * @param error - what the call threw after it was sent.
 * @param kind - what kind of call it was.
 * @returns The store's error.
 */
export function toStoreError(error: unknown, kind: CallKind): PlatformStoreError {
  if (error instanceof PlatformStoreError) return error;
  const connectError = ConnectError.from(error);
  const failure = failureOf(connectError, kind);
  return new PlatformStoreError(failure, connectError.message, { cause: error });
}
