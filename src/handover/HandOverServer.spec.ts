import { IncomingMessage } from 'node:http';
import type { ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import type { ForwardingContext } from '../forwarding/forwardingTypes.js';
import { chunksOfOneByte, heldMemory } from '../http/testMemory.js';
import { HandOverServer } from './HandOverServer.js';
import type { RunnerPath } from './RunnerPath.js';

const MESSAGE_BYTES = 262_144;

const MAXIMUM_MEMORY_BYTES = 8_000_000;

const RESPONSE = { once: () => undefined, writeContinue: () => undefined };

describe('HandOverServer', () => {
  // Guards against a message that fills the heap with chunks of one byte, each of which costs an object of its own.
  it('takes little more memory for a message than its bytes, however small its chunks are', async () => {
    const context = { stopPhase: () => 'serving', routes: () => ({}) };
    const server = new HandOverServer({
      context: context as unknown as ForwardingContext,
      path: { isLost: false } as RunnerPath,
      secret: () => 'secret',
      isAllowedHost: () => true,
    });
    const request = new IncomingMessage(new Socket());
    const before = await heldMemory();
    server.take(request, RESPONSE as unknown as ServerResponse);
    await nextTurn();
    for (const chunk of chunksOfOneByte(MESSAGE_BYTES)) request.push(chunk);
    await nextTurn();
    expect(request.readableLength).toEqual(0);
    expect((await heldMemory()) - before).toBeLessThan(MAXIMUM_MEMORY_BYTES);
    expect(server.inProgress).toEqual(1);
    expect(request.destroyed).toEqual(false);
  });
});
