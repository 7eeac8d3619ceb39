import { describeOldHistories } from './testOutlivingStreams.js';

describeOldHistories({ daemons: 390, runners: 40, seed: 79, streamsPerSecond: 60 });
