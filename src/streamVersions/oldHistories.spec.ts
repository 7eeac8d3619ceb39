import { describeOldHistories } from './testOutlivingStreams.js';

for (const size of [
  { daemons: 6, runners: 12, streamsPerSecond: 40 },
  { daemons: 20, runners: 24, streamsPerSecond: 80 },
  { daemons: 90, runners: 90, streamsPerSecond: 80 },
]) {
  describeOldHistories({ ...size, seed: 77 });
}
