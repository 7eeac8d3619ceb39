/**
 * Connect interceptor that signs each call and rejects answers that are not signed by the called daemon.
 */
import type { Interceptor } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';

import type { PeerCredentials } from './PeerCredentials.js';
import { ANSWER_HEADER, TOKEN_HEADER } from './peerHeaders.js';

/** Options of {@link authenticateCalls}. */
export interface AuthenticateCallsOptions {
  /** Name of the called daemon; empty if only its address is known. */
  daemonId: string;
  credentials: PeerCredentials;
  /** Called when an answer does not prove that it comes from the called daemon. */
  onUnprovenAnswer: () => void;
}

/** Codes that Connect derives from an HTTP status if the answer has no headers. */
const CODES_FROM_STATUS_ONLY: ReadonlySet<Code> = new Set([
  Code.Internal,
  Code.PermissionDenied,
  Code.Unauthenticated,
  Code.Unavailable,
  Code.Unimplemented,
  Code.Unknown,
]);

/**
 * Headers of the library that no daemon reads. They take 59 bytes of each call, and headers are most of the traffic.
 */
const UNREAD_HEADERS = ['user-agent', 'connect-protocol-version'] as const;

/**
 * Whether an error was received from the other side and did not arise on this side (broken connection, timeout, limit).
 */
function isRemoteError(error: ConnectError): boolean {
  if (!error.metadata.keys().next().done) return true;
  return error.cause === undefined && CODES_FROM_STATUS_ONLY.has(error.code);
}

/**
 * Creates the interceptor for the calls to one daemon.
 *
 * @param options - the called daemon, the credentials, and the callback for answers without proof.
 * @returns An interceptor. It fails a call with `unauthenticated` if the answer is not authentic. The outcome of the
 *   call is then unknown, since an intermediary may have forwarded the call.
 */
export function authenticateCalls({
  daemonId,
  credentials,
  onUnprovenAnswer,
}: AuthenticateCallsOptions): Interceptor {
  return (next) => async (request) => {
    const call = credentials.signCall(daemonId, request.method.name);
    const verifyProof = (headers: Headers) => {
      const answer = headers.get(ANSWER_HEADER) ?? '';
      if (credentials.verifyAnswer(daemonId, call, answer) !== undefined) return;
      onUnprovenAnswer();
      throw new ConnectError(
        'The answer does not prove that it comes from the called daemon.',
        Code.Unauthenticated,
      );
    };
    request.header.set(TOKEN_HEADER, call.token);
    for (const name of UNREAD_HEADERS) request.header.delete(name);
    const response = await next(request).catch((error: unknown) => {
      // Errors have to be authentic as well; otherwise a forged "not run" would be accepted, and a call that ran would
      // be repeated.
      if (error instanceof ConnectError && isRemoteError(error)) verifyProof(error.metadata);
      throw error;
    });
    verifyProof(response.header);
    return response;
  };
}
