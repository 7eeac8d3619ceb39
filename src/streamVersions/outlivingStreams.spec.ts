import { describeOutlivingStreams } from './testOutlivingStreams.js';

describeOutlivingStreams({ daemons: 6, runners: 8, seed: 11, streamsPerSecond: 40 });
describeOutlivingStreams({ daemons: 20, runners: 12, seed: 12, streamsPerSecond: 80 });
describeOutlivingStreams({ daemons: 90, runners: 30, seed: 13, streamsPerSecond: 200 });
