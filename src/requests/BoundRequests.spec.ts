import { describe, it } from 'node:test';

import type { Client } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import type {
  ExecuteEvent,
  PeerService,
  RunBoundRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import { RunBoundRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { PeerLink } from '../peers/PeerLink.js';
import { BoundRequests } from './BoundRequests.js';
import { executeRequestOf } from './executeRequest.js';
import type { RequestOwner } from './RequestOwner.js';
import type { CallerRequest } from './requestTypes.js';
import type { GateScript } from './testGates.js';
import { collect, endsOf, requestOf, textOf } from './testFakes.js';
import { ANSWER_CHUNKS, healthy } from './testGates.js';
import { NEVER_ABORTED, withHarness } from './testHarness.js';

const RESERVATION = requestOf({ idempotent: false, path: '/boards/7', streaming: false });

function runBoundMessage(request: CallerRequest): RunBoundRequest {
  const { binding = '' } = request;
  return create(RunBoundRequestSchema, { binding, request: executeRequestOf(request, undefined) });
}

const slow: GateScript = async function* script(attempt) {
  await attempt.wait(500);
  yield* healthy(attempt);
};

/** Relays calls to one owner, and cuts each call after the next number of events in `cuts`. */
class CuttingLink extends PeerLink {
  cuts: number[] = [];

  calls = 0;

  private readonly owner: RequestOwner;

  constructor(owner: RequestOwner) {
    super();
    this.owner = owner;
  }

  override clientFor(): Client<typeof PeerService> {
    const runBound = (message: RunBoundRequest) => this.relayCall(message);
    return { runBound } as unknown as Client<typeof PeerService>;
  }

  override close(): void {}

  private async *relayCall(message: RunBoundRequest): AsyncGenerator<ExecuteEvent> {
    this.calls += 1;
    let remaining = this.cuts.shift() ?? Infinity;
    for await (const event of this.owner.runBound(message)) {
      if (remaining === 0) throw new Error('cut');
      remaining -= 1;
      yield event;
    }
  }
}

describe(BoundRequests.name, () => {
  it(
    'joins repeats to the single run, also while it is in progress and after its caller disconnected',
    withHarness(async ({ bind, gates, owner, runners, time }) => {
      const request = await bind(RESERVATION);
      gates.setScripts(slow);
      const gone = new AbortController();
      const first = collect(owner.run(request, gone.signal));
      const second = collect(owner.run(request, NEVER_ABORTED));
      await time.advance(100);
      gone.abort();
      const answers = [
        await time.until(second),
        await time.until(collect(owner.run(request, NEVER_ABORTED))),
      ];
      expect(endsOf(await first)).toEqual(['outcome_unknown']);
      for (const answer of answers) expect(textOf(answer)).toEqual(ANSWER_CHUNKS.join(''));
      expect([runners.runsOf('request'), owner.inProgress()]).toEqual([1, 0]);
    }),
  );

  // Guards against a request that runs after its caller was told "not run" and asked for a new
  // binding. Here two copies of a request arrive one after the other, and the gate refuses the
  // first. It happens if a refused run leaves its binding unused, so the refusal has to use the
  // binding up.
  it(
    'never runs a binding after it was reported as "not run"',
    withHarness(async ({ bind, gates, run, runners }) => {
      const request = await bind(RESERVATION);
      gates.setScripts(async function* refuses(attempt) {
        yield attempt.refused('account_limit', 100);
      });
      const first = await run(request);
      expect(first).toEqual([expect.subset({ code: 'account_limit', notRun: true })]);
      expect(await run(request)).toEqual(first);
      expect(runners.runsOf('request')).toEqual(0);
    }),
  );

  it(
    'distinguishes kinds of misuse, and reports "not run" only where that is certain',
    withHarness(
      async (harness) => {
        const request = await harness.bind(RESERVATION);
        const outcome = async (changes: Partial<CallerRequest>) => {
          const events = await harness.run({ ...request, ...changes });
          const last = events.at(-1);
          return last?.kind === 'failed' ? [last.code, last.notRun] : [last?.kind];
        };
        expect(await outcome({})).toEqual(['completed']);
        expect(await outcome({ body: Buffer.from('x') })).toEqual(['invalid_request', true]);
        expect(await outcome({ clientAccount: 'punkt' })).toEqual(['forbidden', true]);
        expect(await outcome({ binding: 'nonsense' })).toEqual(['invalid_request', false]);
        const unused = await harness.owner.bindings.issue('litoral.showroom');
        expect([unused, await outcome({ binding: undefined })]).toEqual([
          undefined,
          ['overloaded', true],
        ]);
        await harness.time.advance(130_000, 500);
        expect(await outcome({})).toEqual(['outcome_unknown', false]);
        expect(harness.runners.runs).toEqual(new Map([['request', 1]]));
      },
      { maximumBindings: 1 },
    ),
  );

  it(
    'repeats an outcome, but not an answer too large to be kept',
    withHarness(
      async ({ bind, run, runners }) => {
        const request = await bind(RESERVATION);
        expect(endsOf(await run(request))).toEqual(['completed']);
        expect(endsOf(await run(request))).toEqual(['cannot_resume']);
        expect(runners.runsOf('request')).toEqual(1);
      },
      { maximumRememberedBytes: 600 },
    ),
  );

  // Guards against a reservation that is made when a paused daemon resumes, long after its caller
  // gave up. Here a request reaches the daemon's socket, the daemon is paused for 30 s, resumes
  // and reads it. It happens because deadlines between daemons are durations, so the request
  // claims its full time.
  it(
    'does not run a request whose deadline passed while the daemon was paused',
    withHarness(async (harness) => {
      const { bind, gates, owner, runners, time } = harness;
      const handedOver = await bind(RESERVATION);
      const underWay = await bind(RESERVATION);
      harness.homes.freeze();
      await time.advance(1_000);
      const own = collect(owner.run(underWay, NEVER_ABORTED));
      await time.settle();
      time.clock.advance(30_000);
      const events: ExecuteEvent[] = [];
      for await (const event of owner.runBound(runBoundMessage(handedOver))) events.push(event);
      const [last] = events.map(({ event }) => event);
      const failed = last?.case === 'failed' ? last.value : undefined;
      expect([events.length, failed?.code, failed?.notRun]).toEqual([1, 'deadline_exceeded', true]);
      expect(endsOf(await time.until(own)).length).toEqual(1);
      expect([runners.runsOf('request'), gates.executed.length]).toEqual([0, 0]);
    }),
  );

  it(
    'calls the binding’s daemon again after a cut, and passes each chunk on once',
    withHarness(async (harness) => {
      const { gates, owner, runners, time } = harness;
      const link = new CuttingLink(owner);
      const other = harness.newOwner('gate-daemon', link);
      const request = await harness.bind(requestOf({ idempotent: false }));
      link.cuts = [0, 1, 2, 3];
      const events = await time.until(collect(other.run(request, NEVER_ABORTED)));
      expect([textOf(events), endsOf(events)]).toEqual([ANSWER_CHUNKS.join(''), ['completed']]);
      expect([runners.runsOf('request'), gates.executed.length]).toEqual([1, 1]);
      other.stop();
    }),
  );

  // Guards against a confirmation that is sent twice, or a partial answer that is taken for a
  // complete one. Here the binding's daemon dies during an answer that goes through another
  // daemon. It happens if the other daemon runs the request itself, or ends the stream as if it
  // were complete.
  it(
    'reads the rest from the runner when the binding’s daemon dies during the answer',
    withHarness(async (harness) => {
      const { daemons, gates, owner, runners, time } = harness;
      const link = new CuttingLink(owner);
      const other = harness.newOwner('gate-daemon', link);
      const request = await harness.bind(requestOf({ idempotent: false }));
      link.cuts = [2];
      const answer = other.run(request, NEVER_ABORTED);
      const first = [(await time.until(answer.next())).value!];
      daemons[1]!.state = 'dead';
      const events = [...first, ...(await time.until(collect(answer)))];
      expect([textOf(events), endsOf(events)]).toEqual([ANSWER_CHUNKS.join(''), ['completed']]);
      expect([runners.runsOf('request'), link.calls]).toEqual([1, 1]);
      expect(gates.resumed.map(({ afterSequence }) => afterSequence)).toEqual([1]);
      const repeat = await time.until(collect(other.run(request, NEVER_ABORTED)));
      expect(repeat).toEqual([expect.subset({ code: 'outcome_unknown', notRun: false })]);
      other.stop();
    }),
  );

  it(
    'issues no binding on a daemon that is leaving',
    withHarness(async (harness) => {
      const { daemons } = harness;
      daemons[1]!.state = 'leaving';
      expect(await harness.run(RESERVATION)).toEqual([
        expect.subset({ code: 'draining', notRun: true }),
      ]);
    }),
  );
});
