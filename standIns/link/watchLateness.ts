/**
 * Detects delays of a thread.
 */

const INTERVAL_MILLISECONDS = 50;

/** Shorter delays affect no check. */
const LATE_MILLISECONDS = 200;

/**
 * @param onLate - told by how many ms this thread's timers were late.
 * @returns Ends the watch.
 */
export function watchLateness(onLate: (milliseconds: number) => void): () => void {
  let dueAt = performance.now() + INTERVAL_MILLISECONDS;
  const timer = setInterval(() => {
    const late = performance.now() - dueAt;
    if (late > LATE_MILLISECONDS) onLate(late);
    dueAt = performance.now() + INTERVAL_MILLISECONDS;
  }, INTERVAL_MILLISECONDS);
  return () => clearInterval(timer);
}
