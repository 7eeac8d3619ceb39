/**
 * Writes `golden/configuration-*.jsonl` anew; look at the difference before you commit it.
 */
import { writeFile } from 'node:fs/promises';

import { CONFIGURATION_SESSIONS } from './configurationSessions.js';

for (const story of CONFIGURATION_SESSIONS) {
  const { name, lines } = await story();
  const file = new URL(`../../golden/configuration-${name}.jsonl`, import.meta.url);
  await writeFile(file, lines.map((line) => `${line}\n`).join(''));
}
