/**
 * The parts of a prompt, as runners read them.
 */
import type { ReceivedRequest } from './siteRunnerTypes.js';

/**
 * @param headers - head of a request.
 * @returns Ids of the parts of its prompt, the outermost first; none if it has no prompt.
 */
export function promptPartsOf(headers: ReceivedRequest['headers']): string[] {
  const text = String(headers['prompt-prefix'] ?? '');
  return text.split(',').map((part) => part.split(':', 1)[0] ?? '');
}
