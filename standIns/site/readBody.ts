/**
 * Reads the bodies of requests to the stand-ins.
 */
import type { IncomingMessage } from 'node:http';

/**
 * @param request - a request to a stand-in.
 * @returns The body; `undefined` if the sender has left before its end, so that nothing is to be done or answered.
 * @throws Any error other than a connection that was closed or reset.
 */
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'ECONNRESET') throw error;
    return undefined;
  }
  return Buffer.concat(chunks).toString();
}
