import { PassThrough, Writable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ManualClock } from '../time/ManualClock.js';
import { ConsolaLog } from './ConsolaLog.js';
import { MemoryLineSink } from './LineSink.js';
import type { LogFields } from './Log.js';
import { defineLogEvent } from './logEvent.js';
import { StreamSink } from './StreamSink.js';

const CHOSEN = defineLogEvent({
  number: 1401,
  name: 'routing.chosen',
  level: 'info',
  text: 'A runner was chosen.',
  operatorAction: 'None.',
});
const DETAIL = defineLogEvent({ ...CHOSEN, number: 1402, level: 'debug' });
const DROPPED = defineLogEvent({ ...CHOSEN, number: 1010, name: 'daemon.dropped', level: 'warn' });

const clock = new ManualClock({ wallMilliseconds: Date.UTC(2025, 0, 2, 3, 4, 5, 6) });

describe(ConsolaLog.name, () => {
  it('writes an event as one JSON line with the context', () => {
    const sink = new MemoryLineSink();
    const log = new ConsolaLog({ sink, clock, context: { daemon: 'litoral-1' } });
    log.write(CHOSEN, { runner: 'r1', passedOver: ['r2', 'r3'], text: 'not\nreplaced' });
    log.write(DETAIL);
    expect(sink.lines.map((line) => JSON.parse(line) as unknown)).toEqual([
      {
        time: '2025-01-02T03:04:05.006Z',
        level: 'info',
        number: 1401,
        event: 'routing.chosen',
        text: 'A runner was chosen.',
        daemon: 'litoral-1',
        fields: { runner: 'r1', passedOver: ['r2', 'r3'], text: 'not\nreplaced' },
      },
    ]);
  });

  it('writes one readable line per event', () => {
    const sink = new MemoryLineSink();
    const log = new ConsolaLog({ sink, clock, format: 'pretty', level: 'debug' });
    log.write(DETAIL, { runner: 'r 1\nx', load: 1.5, missing: undefined });
    expect(sink.lines).toEqual([
      '03:04:05.006 DEBUG 1402 routing.chosen: A runner was chosen. runner="r 1\\nx" load=1.5',
    ]);
  });

  it('writes repeated lines', () => {
    // Guards against decisions missing from the log under load: by default the log library throttles equal lines, for example
    // when the same choice is made six times within a second.
    const sink = new MemoryLineSink();
    const log = new ConsolaLog({ sink, clock });
    for (let index = 0; index < 50; index += 1) log.write(CHOSEN);
    expect(sink.lines.length).toEqual(50);
  });

  it('reports the number of dropped lines', () => {
    const sink = new (class extends MemoryLineSink {
      private dropped = 7;

      override takeDroppedCount(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
      }
    })();
    const log = new ConsolaLog({ sink, clock, droppedEvent: DROPPED });
    log.write(CHOSEN);
    log.write(CHOSEN);
    const numbers = sink.lines.map((line) => (JSON.parse(line) as { number: number }).number);
    expect(numbers).toEqual([1010, 1401, 1401]);
    expect(sink.lines[0] ?? '').toEqual(expect.includes('"lines":7'));
  });

  it('writes an event with a field that JSON cannot represent', () => {
    // Guards against a request that fails because of its log line: a 64-bit number from a message is logged, and
    // JSON.stringify throws on a bigint.
    const sink = new MemoryLineSink();
    new ConsolaLog({ sink, clock }).write(CHOSEN, { revision: 5n } as unknown as LogFields);
    expect(sink.lines).toEqual([expect.includes('"number":1401')]);
    expect(sink.lines).toEqual([expect.includes('unprintable')]);
  });
});

describe(StreamSink.name, () => {
  it('writes all lines in order', async () => {
    const stream = new PassThrough();
    const sink = new StreamSink({ stream });
    const lines = Array.from({ length: 5000 }, (_, index) => `line ${index} ä`);
    for (const line of lines) sink.write(line);
    const read = text(stream);
    await sink.flush();
    stream.end();
    expect(await read).toEqual(`${lines.join('\n')}\n`);
  });

  it('buffers a bounded amount for a reader that has stopped reading, and counts the rest', async () => {
    // Guards against a daemon whose memory grows until it is killed: its log collector stops reading, and a stream buffers
    // without limit whatever is written to it.
    const stream = new Writable({ write: () => {} });
    const sink = new StreamSink({ stream, maximumBufferedCharacters: 1000 });
    for (let round = 0; round < 10; round += 1) {
      for (let index = 0; index < 10; index += 1) sink.write('x'.repeat(99));
      // The lines are in the stream at once, but the promise stays pending as long as the reader does not read.
      void sink.flush();
    }
    expect(stream.writableLength <= 1000).toEqual(true);
    expect(sink.takeDroppedCount()).toEqual(90);
    expect(sink.takeDroppedCount()).toEqual(0);
    stream.destroy();
  });

  it('handles a reader that closes the stream', async () => {
    // Guards against a daemon that dies with EPIPE when its log collector restarts: a stream error without a handler ends
    // the process.
    const stream = new Writable({ write: (_chunk, _encoding, done) => done(new Error('EPIPE')) });
    const sink = new StreamSink({ stream });
    const closed = new Promise((done) => {
      stream.once('close', done);
    });
    sink.write('a');
    await sink.flush();
    await closed;
    sink.write('b');
    await sink.flush();
    expect(sink.takeDroppedCount()).toEqual(1);
  });
});
