import { describeOutlivingStreams, describeOverlappingLosses } from './testOutlivingStreams.js';

for (const options of [
  { daemons: 6, runners: 8, seed: 11, streamsPerSecond: 40 },
  { daemons: 6, runners: 8, seed: 15, streamsPerSecond: 200 },
  { daemons: 20, runners: 12, seed: 12, streamsPerSecond: 80 },
  { daemons: 90, runners: 30, seed: 13, streamsPerSecond: 200 },
]) {
  describeOutlivingStreams(options);
  describeOverlappingLosses(options);
}
