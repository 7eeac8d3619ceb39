/**
 * The parts of prompts that a stand-in for a runner has cached, and the list of them that it serves.
 */
import type { ServerResponse } from 'node:http';

import { promptPartsOf } from './promptParts.js';
import type { ReceivedRequest } from './siteRunnerTypes.js';

/** Path of the list. */
export const CACHED_PARTS_PATH = '/v1/kv-list';

const TOKENS = 16;

/** Keeps all parts until the runner starts again. */
export class CachedParts {
  private readonly parts = new Set<string>();

  /** Changes with each start of the runner. */
  private epoch = 1;

  /**
   * @param headers - head of a request whose prompt the runner has read.
   */
  add(headers: ReceivedRequest['headers']): void {
    for (const part of promptPartsOf(headers)) this.parts.add(part);
  }

  /** The runner has started again. */
  clear(): void {
    this.parts.clear();
    this.epoch += 1;
  }

  /**
   * @param response - answered with the list.
   */
  answer(response: ServerResponse): void {
    const held = [...this.parts].map((part) => ['', part, TOKENS, 'm']);
    response.end(JSON.stringify({ epoch: this.epoch, next: this.parts.size, held }));
  }
}
