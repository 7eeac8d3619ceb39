/**
 * Protocol adapter for tests, with its own header names.
 */
import type { IncomingHttpHeaders } from 'node:http';

import type { PromptPart, RequestWork, StatedLoad } from '../capacity/capacityTypes.js';
import { RunnerProtocol } from './RunnerProtocol.js';

/** Protocol adapter with short header names. */
export class TestProtocol extends RunnerProtocol {
  override readonly names = {
    requestId: 'request-id',
    deadline: 'deadline',
    key: 'key',
    clientAccount: 'account',
    expectedRunner: 'runner',
    urgency: 'urgency',
    cacheSource: 'cache-source',
    speaker: 'speaker',
    signature: 'signature',
    lastEventId: 'last-event-id',
    resumes: 'resumes',
    systemOnly: ['reserved'],
  };

  override readonly reportPath = '/report';

  override readonly cachedPartsPath = '/cached';

  override didNotRun(_status: number, headers: IncomingHttpHeaders): boolean {
    return headers['not-run'] !== undefined;
  }

  override isLeaving(headers: IncomingHttpHeaders): boolean {
    return headers.leaving !== undefined;
  }

  override brittleLimit(headers: IncomingHttpHeaders): number | undefined {
    return headers.brittle === undefined ? undefined : Number(headers.brittle);
  }

  override sharedPartsOf(headers: IncomingHttpHeaders): readonly string[] {
    return String(headers.parts ?? '')
      .split(',')
      .filter((part) => part !== '');
  }

  override workOf(headers: IncomingHttpHeaders): RequestWork | undefined {
    const parts = String(headers['part-tokens'] ?? '')
      .split(',')
      .filter((part) => part !== '')
      .map((part): PromptPart => {
        const [id = '', tokens] = part.split(':');
        return { id, tokens: Number(tokens) };
      });
    if (parts.length === 0) return undefined;
    return { parts, answerTokens: Number(headers['answer-tokens'] ?? 0) };
  }

  override statedLoad(headers: IncomingHttpHeaders): StatedLoad | undefined {
    if (headers.load === undefined) return undefined;
    const [running = 0, waiting = 0, slots = 0, slowdown] = String(headers.load)
      .split(',')
      .map(Number);
    return { running, waiting, slots, slowdown };
  }

  override lifeIn(report: string): string | undefined {
    return report === '' ? undefined : report;
  }

  override cachedPartsIn(list: string): readonly string[] {
    return list.split(',');
  }
}
