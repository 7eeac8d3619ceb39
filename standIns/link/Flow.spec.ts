import { Socket } from 'node:net';
import { describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { Flow, LinkQueue } from './Flow.js';

describe(Flow.name, () => {
  // Guards against a link that turns the reset of a runner, in the middle of an answer, into the end of a whole one.
  it('passes an end on, and a reset that the event loop reports as an end as a reset', () => {
    const seen: string[] = [];
    for (const address of ['127.0.0.1', undefined]) {
      const [source, sink] = [new Socket(), new Socket()];
      Object.defineProperty(source, 'remoteAddress', { value: address });
      mock.method(sink, 'end', () => seen.push('end'));
      const onReset = () => seen.push('reset');
      const flow = new Flow({ source, sink, queue: new LinkQueue(), isHeld: () => false, onReset });
      source.emit('end');
      flow.pump();
    }
    expect(seen).toEqual(['end', 'reset']);
  });
});
