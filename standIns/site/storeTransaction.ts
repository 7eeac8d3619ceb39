/**
 * Transactions of the stand-in for the platform's store, and the limits that the store sets for them.
 */

/** Changes that are made together, or not at all. */
export interface Transaction {
  readonly expected_revision: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly deletes: readonly string[];
}

const MAXIMUM_ENTRIES = 32;
const MAXIMUM_KEY_BYTES = 200;
const MAXIMUM_VALUE_BYTES = 1_048_576;

/** Only operators and runners write under these prefixes. */
const FOREIGN_PREFIXES = ['op/', 'servers/'];

/**
 * @param transaction - from a daemon.
 * @returns The HTTP status with which the store refuses it; `undefined` if it keeps to the limits.
 */
export function refusalOf({
  expected_revision: expected,
  puts,
  deletes,
}: Transaction): number | undefined {
  const keys = [...puts.map(({ key }) => key), ...deletes];
  const isForeign = (key: string) => FOREIGN_PREFIXES.some((prefix) => key.startsWith(prefix));
  if (keys.some(isForeign)) return 403;
  const isOversize =
    expected.length + keys.length > MAXIMUM_ENTRIES ||
    keys.some((key) => Buffer.byteLength(key) > MAXIMUM_KEY_BYTES) ||
    puts.some(({ value }) => Buffer.from(value, 'base64').length > MAXIMUM_VALUE_BYTES);
  return isOversize ? 400 : undefined;
}
