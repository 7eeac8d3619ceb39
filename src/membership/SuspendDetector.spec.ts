import { describe, it } from 'node:test';

import { expect } from 'earl';

import { Clock } from '../time/Clock.js';
import { SuspendDetector } from './SuspendDetector.js';

class SettableClock extends Clock {
  wall = 1_000_000;

  monotonic = 0;

  override wallMilliseconds(): number {
    return this.wall;
  }

  override monotonicMilliseconds(): number {
    return this.monotonic;
  }
}

describe(SuspendDetector.name, () => {
  it('reports a suspend, but neither small clock drift nor a wall clock set back', () => {
    // Guards against a daemon that keeps using its old gates after its machine was suspended overnight. The
    // monotonic clock stops during a suspend, too, so it shows no gap.
    const clock = new SettableClock();
    const jumps: number[] = [];
    const onJump = (milliseconds: number) => jumps.push(milliseconds);
    const watch = new SuspendDetector({ clock, thresholdMilliseconds: 4_000, onJump });
    watch.start();
    const advance = (wall: number, monotonic: number) => {
      clock.wall += wall;
      clock.monotonic += monotonic;
      watch.check();
    };
    advance(60_000, 60_000);
    advance(3_000, 1_000);
    advance(-90_000, 1_000);
    advance(3_600_000, 1_000);
    advance(1_000, 1_000);
    watch.stop();
    expect(jumps).toEqual([3_599_000]);
  });
});
