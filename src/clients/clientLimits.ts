/**
 * Derives the limits for all clients of a process from the memory and the descriptors that it has.
 */
import { readFileSync } from 'node:fs';
import { totalmem } from 'node:os';

import type { ClientsSettings } from './clientsFeature.js';

/** Limits for all clients together. */
export interface ClientLimits {
  /** Memory of the instance, in bytes. */
  readonly memoryBytes: number;
  /** For connections, heads, bodies and answers, in bytes. */
  readonly maximumBytes: number;
  readonly maximumConnections: number;
  readonly maximumUnreadAnswers: number;
}

const MEBIBYTE = 1_048_576;

/** What the process takes by itself, with garbage that has not been collected yet, in MiB. */
const OWN_MEGABYTES = 108;

/** Share of the rest for clients; the remainder is for what they send beyond it in one turn, and for attempts at runners. */
const CLIENT_SHARE = 0.3;

/** On the smallest instances one body of the usual limit still has to fit, with its copy. */
const LEAST_BYTES = 12 * MEBIBYTE;

/** Descriptors for files, and for connections to the store and to other daemons. */
const OWN_DESCRIPTORS = 32;

/** Each request in progress also needs a connection to a runner. */
const CONNECTION_SHARE = 0.5;

const LEAST_CONNECTIONS = 16;

const OPEN_FILES_LINE = /^Max open files\s+(\d+)/mu;

/** Where neither the settings nor the operating system state a limit, the usual one. */
const USUAL_DESCRIPTORS = 1_024;

/** Returns the limit of the operating system, or `undefined` where it does not state one. */
function allowedDescriptors(): number | undefined {
  try {
    const [, soft] = OPEN_FILES_LINE.exec(readFileSync('/proc/self/limits', 'utf8')) ?? [];
    return soft === undefined ? undefined : Number(soft);
  } catch {
    // Only Linux states the limit there.
    return undefined;
  }
}

/** The limit of the operating system holds, whatever the settings state. */
function descriptorsOf({ descriptors }: ClientsSettings): number {
  const allowed = allowedDescriptors();
  if (allowed === undefined) return descriptors ?? USUAL_DESCRIPTORS;
  return Math.min(descriptors ?? allowed, allowed);
}

function availableMegabytes(): number {
  const constrained = process.constrainedMemory();
  const total = totalmem();
  return (constrained > 0 ? Math.min(constrained, total) : total) / MEBIBYTE;
}

/**
 * @param settings - what the operator states; the rest is what the operating system states.
 * @returns The limits.
 */
export function deriveClientLimits(settings: ClientsSettings): ClientLimits {
  const { memoryMegabytes = availableMegabytes(), maximumUnreadAnswers } = settings;
  const descriptors = descriptorsOf(settings);
  const share = Math.round(CLIENT_SHARE * (memoryMegabytes - OWN_MEGABYTES) * MEBIBYTE);
  const connections = Math.floor(CONNECTION_SHARE * (descriptors - OWN_DESCRIPTORS));
  return {
    memoryBytes: memoryMegabytes * MEBIBYTE,
    maximumBytes: settings.maximumBytes ?? Math.max(LEAST_BYTES, share),
    maximumConnections: settings.maximumConnections ?? Math.max(LEAST_CONNECTIONS, connections),
    maximumUnreadAnswers,
  };
}
