import { describeYoungStreams } from './testOutlivingStreams.js';

for (const options of [
  { daemons: 6, runners: 8, seed: 21, streamsPerSecond: 1 },
  { daemons: 20, runners: 12, seed: 22, streamsPerSecond: 1 },
  { daemons: 75, runners: 20, seed: 23, streamsPerSecond: 1 },
  { daemons: 195, runners: 30, seed: 24, streamsPerSecond: 1 },
]) {
  describeYoungStreams(options);
}
