/**
 * Detects connection resets, so that a truncated answer is not taken for a complete one.
 *
 * An answer without a length ends when its connection is closed. The HTTP library treats a reset by the runner as the
 * end of the answer, too; and if the reset arrives together with data, the event loop reports an ordinary end without
 * an error. The symptom is a truncated body with a success status. A connection that was reset no longer has a peer
 * address, while one that was closed in order still has it.
 */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** How long a connection is kept open behind the last byte of its answer, in ms; a reset follows within a round trip. */
const LATE_RESET_MILLISECONDS = 100;

/** Watches the connection of one request. */
export class ResetDetector {
  /** Whether the connection has been reset. */
  wasReset = false;

  private readonly socket: Socket;

  private readonly onEnd = () => {
    // The address is looked up once and then kept.
    this.wasReset ||= this.socket.remoteAddress === undefined;
  };

  /**
   * @param request - a request.
   * @param socket - its connection.
   */
  constructor(request: ClientRequest, socket: Socket) {
    this.socket = socket;
    const onError = () => {
      this.wasReset = true;
    };
    // These listeners have to run before the library's own.
    socket.prependListener('error', onError);
    socket.prependListener('end', this.onEnd);
    request.once('close', () => {
      socket.off('error', onError);
      socket.off('end', this.onEnd);
    });
  }

  /**
   * Delays the end of the connection. A runner that gives up in the middle of an upload may close its connection in order,
   * and reset it when more of the upload arrives. By then, the library has closed the connection, and sees no reset.
   */
  delayEnd(): void {
    const { socket } = this;
    const listeners = socket.listeners('end');
    socket.removeAllListeners('end');
    // Otherwise the stream ends itself together with its peer.
    socket.allowHalfOpen = true;
    socket.once('end', () => {
      const timer = setTimeout(() => {
        for (const listener of listeners) listener.call(socket);
      }, LATE_RESET_MILLISECONDS);
      socket.once('close', () => clearTimeout(timer));
    });
  }
}
