import type { IncomingHttpHeaders } from 'node:http';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { Route } from '../routes/routeTypes.js';
import type { HandOver } from './handOverMessage.js';
import { receivedPrompt } from './receivedPrompt.js';

const PROTOCOL = {
  sharedPartsOf: (headers: IncomingHttpHeaders) => String(headers.prompt).split(','),
};

function requestWith(parts: readonly string[]): HandOver['request'] {
  const headers = ['Host', 'chat.example', 'Prompt', parts.join()];
  const work = { parts: parts.map((id) => ({ id, tokens: 1 })), answerTokens: 1 };
  const route = { cachesPrompts: true } as Route;
  return { headers, route, work, sharedParts: parts } as unknown as HandOver['request'];
}

describe(receivedPrompt.name, () => {
  // Guards against a part that crashes runners and is not found in requests that were handed over.
  it('reads all parts from the head', () => {
    const parts = Array.from({ length: 40 }, (_, index) => `a${index}`);
    const prompt = receivedPrompt(requestWith(parts), PROTOCOL);
    expect(prompt.allSharedParts()).toEqual(parts);
    expect(prompt.sharedParts).toEqual(parts);
  });

  // Guards against memory for the parts of prompts as daemons of an earlier version describe them.
  it('keeps a bounded number of segments', () => {
    const parts = Array.from({ length: 2_000 }, (_, index) => `a${index}`);
    const { sharedParts, work } = receivedPrompt(requestWith(parts), PROTOCOL);
    expect([sharedParts.length <= 128, (work?.parts.length ?? 0) <= 129]).toEqual([true, true]);
  });
});
