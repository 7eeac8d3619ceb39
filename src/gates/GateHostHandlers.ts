/**
 * Implements the methods of the peer service by which other daemons reach the gates of this one.
 */
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';

import type {
  ExecuteEvent,
  ExecuteRequest,
  PeerService,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { GateHost } from './GateHost.js';

/** The methods of the peer service that are implemented here. */
export type GateHandlers = Pick<
  ServiceImpl<typeof PeerService>,
  'execute' | 'resume' | 'cancel' | 'handOverGate'
>;

/**
 * Passes on events until the connection is lost. A lost connection is not a cancellation: the reading daemon
 * may have crashed, and its caller may reconnect through another one. So only the reading ends, and the gate
 * keeps the attempt for a while; to end an attempt, its owner calls `Cancel`.
 */
async function* readUntilDisconnect(
  events: AsyncIterable<ExecuteEvent>,
  { signal }: HandlerContext,
): AsyncGenerator<ExecuteEvent, void, undefined> {
  const iterator = events[Symbol.asyncIterator]();
  const leave = (): void => {
    void iterator.return?.();
  };
  signal.addEventListener('abort', leave, { once: true });
  try {
    if (signal.aborted) return;
    for (;;) {
      const step = await iterator.next();
      if (step.done) return;
      yield step.value;
    }
  } finally {
    signal.removeEventListener('abort', leave);
    leave();
  }
}

/**
 * Creates the handlers for the gates of a daemon.
 *
 * @param host - the gates of this daemon.
 * @returns Handlers for the peer server to mount.
 */
export function gateHandlers(host: GateHost): GateHandlers {
  const neverAborted = (): AbortSignal => new AbortController().signal;
  return {
    execute: (request: ExecuteRequest, context) =>
      readUntilDisconnect(host.execute(request, neverAborted()), context),
    resume: (request, context) =>
      readUntilDisconnect(host.resume(request, neverAborted()), context),
    cancel: async (request) => ({ known: await host.cancel(request) }),
    handOverGate: async (request) => ({ accepted: host.receiveHandOver(request) }),
  };
}
