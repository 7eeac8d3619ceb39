import { describeYoungStreams } from './testOutlivingStreams.js';

describeYoungStreams({ daemons: 390, runners: 30, seed: 25, streamsPerSecond: 1 });
