import { beforeEach, describe, it } from 'node:test';

import { create, toBinary } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { CrashReportSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { ManualClock } from '../time/ManualClock.js';
import { CrashRelay } from './CrashRelay.js';
import { toMessage } from './crashSummaryCodec.js';
import { QuarantineDecisions } from './QuarantineDecisions.js';

const DIGEST = 'f'.repeat(32);

describe(CrashRelay.name, () => {
  let clock: ManualClock;
  let decisions: QuarantineDecisions;
  let deliver: (message: Uint8Array) => void;
  let timers: (() => void)[];

  beforeEach(() => {
    clock = new ManualClock({ monotonicMilliseconds: 10_000 });
    decisions = new QuarantineDecisions();
    timers = [];
    const relay = new CrashRelay({
      daemon: 'daemon-1',
      ownAddress: '10.0.0.1:1',
      socket: {
        handle: (_kind: MessageKind, handler) => {
          deliver = handler;
        },
        send: () => undefined,
      },
      decisions,
      merge: (news) => decisions.merge(news, clock.monotonicMilliseconds()),
      clock,
      reportRecipients: () => [],
      broadcastRecipients: () => [],
      canReadMessages: () => true,
      pull: () => undefined,
      later: (call) => timers.push(call),
    });
    relay.start();
  });

  /** A report of a crash of just now. */
  function report(): Uint8Array {
    const now = clock.monotonicMilliseconds();
    const news = { digest: DIGEST, crashes: [{ life: 1, at: now }], clearedAt: undefined };
    const records = [toMessage({ summary: news, alike: [] }, now)];
    return toBinary(CrashReportSchema, create(CrashReportSchema, { daemon: 'other', records }));
  }

  // Guards against one crash that counts again because its report waited for a daemon that stood still.
  it('ignores what waited while this process stood still', () => {
    const early = report();
    deliver(early);
    clock.advance(6_000);
    deliver(early);
    expect(decisions.crashesOf(DIGEST)).toEqual(1);
    timers.shift()?.();
    deliver(early);
    expect(decisions.crashesOf(DIGEST)).toEqual(1);
    clock.advance(600);
    deliver(report());
    expect(decisions.crashesOf(DIGEST)).toEqual(2);
  });

  it('counts a crash once though its report is held up on the way for a while', () => {
    const early = report();
    deliver(early);
    clock.advance(900);
    timers.shift()?.();
    clock.advance(900);
    deliver(early);
    expect(decisions.crashesOf(DIGEST)).toEqual(1);
  });
});
