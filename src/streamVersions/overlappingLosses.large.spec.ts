import { describeOverlappingLosses } from './testOutlivingStreams.js';

describeOverlappingLosses({ daemons: 390, runners: 30, seed: 14, streamsPerSecond: 60 });
