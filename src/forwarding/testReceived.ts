/**
 * Test helper: waits in real time for what a caller receives, while the virtual clock of a request stands still.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';

/** How long it waits, in ms. */
const WAIT_MILLISECONDS = 2_000;

/**
 * @param caller - everything that the caller receives, once its connection has ended.
 * @returns The text; `undefined` if the connection does not end in time.
 */
export async function receivedInTime(caller: Promise<string>): Promise<string | undefined> {
  let text: string | undefined;
  void caller.then((received) => {
    text = received;
  });
  const endAt = performance.now() + WAIT_MILLISECONDS;
  while (text === undefined && performance.now() < endAt) await nextTurn();
  return text;
}

/**
 * @param caller - everything that the caller receives.
 * @returns The status line, if it comes in time.
 */
export async function statusLineInTime(caller: Promise<string>): Promise<string | undefined> {
  return (await receivedInTime(caller))?.split('\r\n', 1)[0];
}
