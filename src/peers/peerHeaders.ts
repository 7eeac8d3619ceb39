/**
 * Names of the headers that authenticate calls between daemons. Each header carries a `SignedToken` over a `PeerToken`.
 */

/** Request header with the caller's token; it proves the caller, the called daemon, the time and the method. */
export const TOKEN_HEADER = 'baobabdock-peer-token';

/**
 * Response header with the token of the answering daemon, signed over the request's nonce. Errors and streams carry it
 * too.
 */
export const ANSWER_HEADER = 'baobabdock-peer-answer';
