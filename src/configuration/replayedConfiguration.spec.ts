/**
 * Replays the recorded sessions of the configuration: the decisions have to choose the recorded actions.
 */
import { readFile } from 'node:fs/promises';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { CONFIGURATION_SESSIONS } from '../../standIns/platform/configurationSessions.js';
import { firstDifference, replaySession } from '../commands/replaySession.js';
import { parseSession } from '../commands/session.js';
import { Findings } from '../findings/Findings.js';
import { replayedConfiguration } from './replayedConfiguration.js';

describe('recorded sessions of the configuration', () => {
  for (const recordSession of CONFIGURATION_SESSIONS) {
    it(`replay and happen again byte for byte: ${recordSession.name}`, async () => {
      const { name, lines } = await recordSession();
      const file = new URL(`../../golden/configuration-${name}.jsonl`, import.meta.url);
      const recorded = await readFile(file, 'utf8');
      const findings = new Findings();
      const session = parseSession(recorded, name, findings)!;
      expect(findings.list()).toEqual([]);
      const steps = replaySession(session, replayedConfiguration(session.header.options));
      expect(firstDifference(steps)).toEqual(undefined);
      expect(recorded.trimEnd().split('\n')).toEqual([...lines]);
    });
  }
});
