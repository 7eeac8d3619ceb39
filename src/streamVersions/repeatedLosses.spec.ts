import { describeRepeatedLosses } from './testRepeatedLosses.js';

for (const size of [
  { daemons: 6, runners: 12, streamsPerSecond: 40 },
  { daemons: 20, runners: 24, streamsPerSecond: 80 },
]) {
  describeRepeatedLosses({ ...size, seed: 78 });
}
