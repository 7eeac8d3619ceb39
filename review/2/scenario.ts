/**
 * Streams of which runners break some off and spoil some answers: a stream that another runner was to go on with must not
 * get that runner's failure as its content.
 */
import { Garble } from '../support/Garble.js';
import { headOf, RawRunner } from '../support/RawRunner.js';
import type { RawRequest } from '../support/RawRunner.js';
import { ReviewedSite } from '../support/reviewSite.js';
import { hasTrouble, runScenario } from '../support/runScenario.js';
import { sendCall } from '../support/sendCall.js';
import type { CallResult } from '../support/sendCall.js';

const DAEMONS = 3;
const RUNNERS = 5;

const STREAMS = 3_000;
const STREAMS_AT_ONCE = 8;
const EVENTS = 6;
const EVENT_MILLISECONDS = 15;
const EVENTS_BEFORE_BREAK = 2;

/** Bytes of an answer that is none; on the pages they may also come without end. */
const SPOILED_BYTES = 400_000;

const PATIENCE_MILLISECONDS = 5_000;

const eventOf = (number: number) => `id: ${number}\ndata: piece ${number}\n\n`;

const wholeStream = Array.from({ length: EVENTS }, (_, index) => eventOf(index + 1)).join('');

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

await runScenario('review/2', async (record) => {
  const reviewed = new ReviewedSite();
  await reviewed.start([
    {
      ...{ name: 'help', path_prefix: '/help/', kind: 'streaming', service: 'engine' },
      ...{ timeout_ms: 15_000, target_latency_ms: 600, max_attempts: 2 },
      ...{ sticky: true, resumable: true },
    },
  ]);
  const runners: RawRunner[] = [];
  const garble = new Garble({ runners: RUNNERS, isOn: hasTrouble });

  async function stream(request: RawRequest, runner: RawRunner, from: number, breaksOff: boolean) {
    const { socket, id } = request;
    socket.write(
      headOf(request, '200 OK', [
        `Response-Seal: seal-${runner.id}`,
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
      ]),
    );
    for (let number = from; number <= EVENTS; number += 1) {
      await new Promise((done) => {
        setTimeout(done, EVENT_MILLISECONDS);
      });
      if (breaksOff && number > EVENTS_BEFORE_BREAK) {
        record(`${runner.id} breaks off ${id} after event ${number - 1}`);
        socket.resetAndDestroy();
        return;
      }
      socket.write(chunkOf(eventOf(number)));
    }
    socket.write('0\r\n\r\n');
  }

  function answer(request: RawRequest, runner: RawRunner): void {
    const { id, lastEventId } = request;
    record(`${runner.id} runs ${id}${lastEventId === undefined ? '' : ` after ${lastEventId}`}`);
    garble.count(runner);
    const canSpoil = garble.maySpoil(runner);
    if (canSpoil && lastEventId !== undefined) {
      runner.recordSpoiled();
      record(`${runner.id} spoils its answer to ${id}: status 500, ${SPOILED_BYTES} bytes`);
      const head = headOf(request, '500 Failure', [`Content-Length: ${SPOILED_BYTES}`]);
      request.socket.write(`${head}${'#'.repeat(SPOILED_BYTES)}`);
      return;
    }
    // A stream is broken off only while another faulty runner may spoil an answer, which need not get the stream.
    const breaksOff = canSpoil && lastEventId === undefined && garble.anotherMaySpoil(runner);
    if (breaksOff) runner.recordSpoiled();
    const from = Number(lastEventId ?? 0) + 1;
    void stream(request, runner, from, breaksOff);
  }

  for (let number = 1; number <= RUNNERS; number += 1) {
    const runner = new RawRunner({ id: `engine-${number}`, service: 'engine', answer });
    runners.push(runner);
    reviewed.site.store.write(`servers/${runner.id}`, await runner.start());
  }
  await reviewed.startDaemons(DAEMONS);

  const results: CallResult[] = [];
  let next = 0;
  async function sendInTurn(): Promise<void> {
    while (next < STREAMS) {
      next += 1;
      const id = `stream-${next}`;
      const result = await sendCall({
        ...{ address: reviewed.addressOf(next), id, path: '/help/a', method: 'POST' },
        body: `question ${next}`,
        headers: {
          Model: 'm',
          'Token-Usage': '40,6',
          'Prompt-Prefix': `a${next % 30}:30,${next.toString(16)}f:10`,
        },
        patienceMilliseconds: PATIENCE_MILLISECONDS,
      });
      results.push(result);
      const { status, isComplete, body } = result;
      const end = isComplete ? 'whole' : 'broken off';
      record(`${id} got ${status}, ${end}, ${body.length} bytes`);
    }
  }
  await Promise.all(Array.from({ length: STREAMS_AT_ONCE }, sendInTurn));
  for (const runner of runners) record(garble.report(runner));
  const wrong = results.filter(
    ({ status, isComplete, body }) =>
      status === 200 && (isComplete ? body !== wholeStream : !wholeStream.startsWith(body)),
  );
  for (const { id, body, isComplete } of wrong)
    record(
      `${id}: ${isComplete ? 'ends as complete' : 'broken off'} with other content: ${JSON.stringify(body.slice(0, 90))}...`,
    );
  const served = results.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  const spoiled = runners.reduce((sum, runner) => sum + runner.spoiled, 0);
  record(`${served} of ${STREAMS} streams whole; ${wrong.length} with wrong content`);
  await reviewed.stop();
  for (const runner of runners) runner.stop();
  if (wrong.length > 0) return 'broken';
  return served < STREAMS / 2 || (hasTrouble && spoiled === 0) ? 'not_run' : 'held';
});
