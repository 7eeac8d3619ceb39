/**
 * Faults of the stand-in for the platform's store; several may be active at the same time.
 */
import type { IncomingMessage } from 'node:http';

/**
 * How calls are answered: `busy` refuses with 503, `silent` neither executes nor answers, `reset` resets connections, `slow`
 * delays each answer, `loses_answers` executes the call and resets the connection instead of answering.
 */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset' | 'slow' | 'loses_answers';

/** A fault, and the calls that it applies to. */
export interface FaultFor {
  fault: StoreFault;
  /** Selects the calls that the fault applies to; all by default. */
  concerns?: (request: IncomingMessage) => boolean;
}

/**
 * @param request - a call.
 * @returns Whether it may change the store, its leases included.
 */
export function isWrite({ method }: IncomingMessage): boolean {
  return method !== 'GET';
}

/** Keeps the active faults. */
export class StoreFaults {
  private readonly active = new Set<FaultFor>();

  /**
   * @param fault - a fault that begins now.
   * @returns A function to be called when it ends.
   */
  begin(fault: FaultFor): () => void {
    const own = { ...fault };
    if (own.fault !== 'none') this.active.add(own);
    return () => this.active.delete(own);
  }

  /**
   * @param request - a call.
   * @returns The fault that began first of those that apply to it.
   */
  of(request: IncomingMessage): StoreFault {
    const isConcerned = ({ concerns = () => true }: FaultFor) => concerns(request);
    return [...this.active].find(isConcerned)?.fault ?? 'none';
  }
}
