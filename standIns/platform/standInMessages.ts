/**
 * Translates between the published messages and the stand-in's state.
 */
import { Code, ConnectError } from '@connectrpc/connect';

import {
  Compare_CompareResult as CompareResult,
  Compare_CompareTarget as CompareTarget,
} from '../../src/generated/etcd/etcdserverpb/rpc_pb.js';
import type {
  Compare,
  RequestOp,
  TxnRequest,
} from '../../src/generated/etcd/etcdserverpb/rpc_pb.js';
import { Event_EventType as EventType } from '../../src/generated/etcd/mvccpb/kv_pb.js';
import { MAXIMUM_VALUE_BYTES } from '../../src/store/PlatformStore.js';
import type {
  StoreEntry,
  StoreTransaction,
  StoreWrite,
  TransactionResult,
} from '../../src/store/PlatformStore.js';
import { keyBytes, keyText } from '../../src/store/etcdMessages.js';
import type { KeyChange } from './KeyValueState.js';

/**
 * @param rangeEnd - as a request carries it.
 * @returns The first key after the range, or `undefined` for one key.
 */
export function endKey(rangeEnd: Uint8Array): string | undefined {
  return rangeEnd.length === 0 ? undefined : keyText(rangeEnd);
}

/**
 * @param entry - an entry of the state.
 * @param keysOnly - whether its value is left out.
 * @returns The message.
 */
export function toKeyValue(entry: StoreEntry, keysOnly: boolean) {
  return {
    key: keyBytes(entry.key),
    value: keysOnly ? new Uint8Array() : entry.value,
    modRevision: BigInt(entry.modifiedRevision),
  };
}

/**
 * @param change - a change of the state.
 * @returns The event of a watch.
 */
export function toChangeEvent({ key, value, revision }: KeyChange) {
  return {
    type: value ? EventType.PUT : EventType.DELETE,
    kv: { key: keyBytes(key), value: value ?? new Uint8Array(), modRevision: BigInt(revision) },
  };
}

function toExpected({ target, result, key, targetUnion }: Compare) {
  const known =
    target === CompareTarget.MOD &&
    result === CompareResult.EQUAL &&
    targetUnion.case === 'modRevision';
  if (!known)
    throw new ConnectError('the stand-in compares modification revisions only', Code.Unimplemented);
  return { key: keyText(key), modifiedRevision: Number(targetUnion.value) };
}

function toWrite({ request }: RequestOp): StoreWrite {
  if (request.case === 'requestDeleteRange' && request.value.rangeEnd.length === 0)
    return { kind: 'delete', key: keyText(request.value.key) };
  if (request.case !== 'requestPut')
    throw new ConnectError('the stand-in puts or deletes single keys', Code.Unimplemented);
  const { key, value, lease } = request.value;
  if (value.length > MAXIMUM_VALUE_BYTES)
    throw new ConnectError('request is too large', Code.InvalidArgument);
  return {
    kind: 'put',
    key: keyText(key),
    value,
    leaseId: lease === 0n ? undefined : String(lease),
  };
}

/**
 * @param request - a transaction of single puts and deletes.
 * @returns The same in the store's terms.
 * @throws {@link ConnectError} for what the stand-in does not do, and for values that are too large.
 */
export function toTransaction(request: TxnRequest): StoreTransaction {
  return { expected: request.compare.map(toExpected), writes: request.success.map(toWrite) };
}

/**
 * @param result - how the transaction ended.
 * @param request - what was asked, for the reads of its failure branch.
 * @returns The answer.
 */
export function toTxnAnswer(result: TransactionResult, request: TxnRequest) {
  const header = { revision: BigInt(result.revision) };
  if (result.kind === 'committed') return { header, succeeded: true };
  const responses = request.failure.map(({ request: read }) => {
    const key = read.case === 'requestRange' ? keyText(read.value.key) : undefined;
    const kvs = result.current
      .filter((entry) => entry.key === key)
      .map((entry) => toKeyValue(entry, false));
    return { response: { case: 'responseRange', value: { header, kvs } } as const };
  });
  return { header, succeeded: false, responses };
}
