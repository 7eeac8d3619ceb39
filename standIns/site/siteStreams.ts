/**
 * The events of a stand-in runner's streams, as text.
 */

/**
 * @param events - number of events.
 * @returns A whole stream of them, from a runner that does not echo its requests.
 */
export function wholeStream(events: number): string {
  const numbers = Array.from({ length: events }, (_, index) => index + 1);
  return numbers.map((number) => `id: ${number}\ndata: token ${number}\n\n`).join('');
}

/**
 * @param body - what arrived of a stream.
 * @returns Number of events that are complete.
 */
export function countEvents(body: string): number {
  return body.match(/\n\n/gu)?.length ?? 0;
}
