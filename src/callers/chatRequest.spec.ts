import { expect } from 'earl';
import fc from 'fast-check';
import { describe, it } from 'node:test';

import { Findings } from '../findings/Findings.js';
import { readCallerHeaders } from './callerHeaders.js';
import { readChatRequest } from './chatRequest.js';

describe('parsers of bodies and headers', () => {
  it('never throw, and find a mistake or give a value', () => {
    const json = fc.json().map((text) => Buffer.from(text));
    const nearly = fc
      .record({ model: fc.anything(), messages: fc.array(fc.anything()), n: fc.anything() })
      .map((value) => Buffer.from(JSON.stringify(value, (_key, part) => part ?? null) ?? ''));
    fc.assert(
      fc.property(fc.oneof(fc.uint8Array(), json, nearly), (body) => {
        const findings = new Findings();
        expect(readChatRequest(body, findings, 1) === undefined).toEqual(findings.hasAny);
      }),
      { seed: 3, numRuns: 500 },
    );
    const names = ['x-priority', 'x-chat', 'x-deadline-milliseconds', 'x-binding', 'x-idempotent'];
    fc.assert(
      fc.property(fc.dictionary(fc.constantFrom(...names), fc.string()), (headers) => {
        readCallerHeaders(headers, new Findings());
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});
