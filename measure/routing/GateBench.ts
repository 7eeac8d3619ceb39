/**
 * One gate before one fake engine in virtual time, for what happens inside a gate.
 */
import { GateDecisions } from '../../src/gates/GateDecisions.js';
import type { GateDecisionsOptions } from '../../src/gates/gateDecisionsTypes.js';
import type { GateAction, GateMessage, GateRequest } from '../../src/gates/gateTypes.js';
import { FakeEngine } from './FakeEngine.js';
import type { VirtualTime } from './VirtualTime.js';

/** What becomes of a request. */
export interface BenchWatcher {
  readonly onStart: () => void;
  readonly onEnd: () => void;
  readonly onRefused: () => void;
}

/** Options of a {@link GateBench}. */
export interface GateBenchOptions {
  readonly time: VirtualTime;
  readonly gate: GateDecisionsOptions;
  /** Mean load that the gate is told once; so high that the bound has no effect, unless a case needs it. */
  readonly mean: number;
  readonly runners: number;
}

const ENGINE_STEP_MILLISECONDS = 50;
const TICK_MILLISECONDS = 100;
const CACHE_TOKENS = 1_000_000;

/** A gate that is open, with its engine. */
export class GateBench {
  private readonly time: VirtualTime;

  private readonly gate: GateDecisions;

  private readonly engine = new FakeEngine({
    id: 'engine',
    cacheTokens: CACHE_TOKENS,
    onEvicted: () => {},
  });

  private readonly asked = new Map<string, { request: GateRequest; watcher: BenchWatcher }>();

  /**
   * @param options - time and gate.
   */
  constructor({ time, gate, mean, runners }: GateBenchOptions) {
    this.time = time;
    this.gate = new GateDecisions(gate);
    this.tell({ kind: 'open', handedOver: [] });
    this.tell({ kind: 'pool_mean', mean, runners });
    time.every(ENGINE_STEP_MILLISECONDS, () => this.engine.advance(ENGINE_STEP_MILLISECONDS));
    time.every(TICK_MILLISECONDS, () => this.tell({ kind: 'tick' }));
  }

  /**
   * @param request - goes to the gate.
   * @param watcher - learns what became of it.
   */
  ask(request: GateRequest, watcher: BenchWatcher): void {
    this.asked.set(request.attemptId, { request, watcher });
    this.tell({ kind: 'request', request });
  }

  private tell(message: GateMessage): void {
    for (const action of this.gate.decide(this.time.now, message)) this.perform(action);
  }

  private perform(action: GateAction): void {
    const asked = this.asked.get(action.attemptId);
    if (!asked) return;
    if (action.kind === 'refuse') {
      this.asked.delete(action.attemptId);
      asked.watcher.onRefused();
    }
    if (action.kind !== 'start') return;
    asked.watcher.onStart();
    const { attemptId, promptTokens, maximumTokens } = asked.request;
    this.engine.start({
      attemptId,
      chat: attemptId,
      promptTokens,
      answerTokens: maximumTokens,
      maximumTokens,
      onProgress: (generatedTokens) => this.tell({ kind: 'progress', attemptId, generatedTokens }),
      onEnd: () => {
        this.asked.delete(attemptId);
        this.tell({ kind: 'ended', attemptId, end: 'completed' });
        asked.watcher.onEnd();
      },
    });
  }
}
