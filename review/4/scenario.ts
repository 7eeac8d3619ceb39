/**
 * Plain calls of which runners spoil some answers: their status line bears a number that is no status. Each caller must
 * still get an answer by the time that the route allows.
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

const CALLS = 2_600;
const INTERVAL_MILLISECONDS = 15;
const WORK_MILLISECONDS = 15;

/** The timeout of the routes, and how much later the rule looks. */
const TIMEOUT_MILLISECONDS = 600;
const SLACK_MILLISECONDS = 500;

/** Clients wait far longer than the route's timeout. */
const PATIENCE_MILLISECONDS = 3_000;

/** So many requests without an answer at least, and over a quarter of those that reach the timeout. */
const LEAST_UNANSWERED = 8;
const UNANSWERED_SHARE = 0.25;

const BODY = 'the whole answer';

await runScenario('review/4', async (record) => {
  const reviewed = new ReviewedSite();
  const common = { service: 'plain', timeout_ms: TIMEOUT_MILLISECONDS, target_latency_ms: 100 };
  await reviewed.start([
    { ...common, name: 'look', path_prefix: '/look/', kind: 'idempotent', max_attempts: 2 },
    { ...common, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 1 },
  ]);
  const runners: RawRunner[] = [];
  const garble = new Garble({ runners: RUNNERS, isOn: hasTrouble });

  function answer(request: RawRequest, runner: RawRunner): void {
    garble.count(runner);
    const spoils = garble.maySpoil(runner);
    if (spoils) runner.recordSpoiled();
    const status = spoils ? '020 OK' : '200 OK';
    record(`${runner.id} runs ${request.id} and answers ${status}`);
    const length = `Content-Length: ${BODY.length}`;
    const head = headOf(request, status, [`Response-Seal: seal-${runner.id}`, length]);
    setTimeout(() => request.socket.write(`${head}${BODY}`), WORK_MILLISECONDS);
  }

  for (let number = 1; number <= RUNNERS; number += 1) {
    const runner = new RawRunner({ id: `plain-${number}`, service: 'plain', answer });
    runners.push(runner);
    reviewed.site.store.write(`servers/${runner.id}`, await runner.start());
  }
  await reviewed.startDaemons(DAEMONS);

  const pending: Promise<CallResult>[] = [];
  for (let number = 1; number <= CALLS; number += 1) {
    const isBooking = number % 3 === 0;
    const call = isBooking
      ? { method: 'POST' as const, path: `/book/${number}`, body: `booking ${number}` }
      : { method: 'GET' as const, path: `/look/${number}` };
    const own = { address: reviewed.addressOf(number), id: `call-${number}` };
    pending.push(sendCall({ ...own, ...call, patienceMilliseconds: PATIENCE_MILLISECONDS }));
    await new Promise((done) => {
      setTimeout(done, INTERVAL_MILLISECONDS);
    });
  }
  const results = await Promise.all(pending);
  for (const { id, status, milliseconds, isComplete } of results)
    record(`${id} got ${isComplete ? status : 'no answer'} after ${milliseconds} ms`);
  for (const runner of runners) record(garble.report(runner));
  const lasting = results.filter(({ milliseconds }) => milliseconds >= TIMEOUT_MILLISECONDS);
  const unanswered = lasting.filter(
    ({ milliseconds }) => milliseconds > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS,
  );
  record(
    `${lasting.length} requests were unanswered at the timeout, ${unanswered.length} of them half a second later`,
  );
  const served = results.filter(({ status }) => status === 200).length;
  record(`${served} of ${CALLS} served`);
  await reviewed.stop();
  for (const runner of runners) runner.stop();
  const isBroken =
    unanswered.length >= LEAST_UNANSWERED &&
    unanswered.length > lasting.length * UNANSWERED_SHARE &&
    unanswered.length > lasting.length / 2;
  if (isBroken) return 'broken';
  return served < CALLS / 2 ? 'not_run' : 'held';
});
