/**
 * One part of long prompts crashes each runner that begins to write an answer on it. Sound requests share all other parts.
 */
import { setTimeout as wait } from 'node:timers/promises';

import { followStream } from '../harness/Client.js';
import { runScenario } from '../harness/Site.js';

const PARTS = Number(process.env.PARTS ?? 40);

/** Position of the part that crashes runners, counted from 0. */
const FATAL_POSITION = PARTS - 4;

const FATAL = 'dead';

const SOUND = 'beef';

/** How long requests come, in ms. */
const LENGTH_MILLISECONDS = 60_000;

/** Between two requests with the fatal part, in ms. */
const FATAL_PAUSE_MILLISECONDS = 1_500;

/** Between two sound requests, in ms. */
const SOUND_PAUSE_MILLISECONDS = 200;

const CONTACT_MILLISECONDS = 3_000;

const CRASHES_BEFORE = 5;

const REQUESTS_ALLOWED = 3;

let lastRequest = 0;

function promptWith(part: string): string {
  lastRequest += 1;
  const shared = Array.from({ length: PARTS }, (_, position) =>
    position === FATAL_POSITION ? `${part}:50` : `a${position.toString(16)}:50`,
  );
  return [...shared, `c${lastRequest.toString(16)}:100`].join();
}

function hasFatalPart(prompt: string): boolean {
  return prompt.split(',').some((entry) => entry.startsWith(`${FATAL}:`));
}

void runScenario(async (site) => {
  const crashes: number[] = [];
  const engine = { service: 'engine', events: 10, prefillMilliseconds: 200 };
  await site.start({
    daemons: 3,
    runners: ['r1', 'r2', 'r3', 'r4'].map((id) => ({
      ...engine,
      id,
      isFatal: hasFatalPart,
      onCrash: (runner) => {
        crashes.push(performance.now());
        site.note(`${runner} crashes`);
      },
    })),
  });
  const until = performance.now() + LENGTH_MILLISECONDS;
  const requests: Promise<boolean>[] = [];
  const sendEach = async (pause: number, part: string) => {
    while (performance.now() < until) {
      const prompt = promptWith(part);
      const followed = followStream({
        ...{ addresses: () => site.addresses(), prompt },
        ...{ retries: 0, deadlineMilliseconds: 5_000 },
      });
      requests.push(followed.then(({ isComplete }) => part === SOUND && !isComplete));
      await wait(pause);
    }
  };
  await Promise.all([
    sendEach(SOUND_PAUSE_MILLISECONDS, SOUND),
    sendEach(FATAL_PAUSE_MILLISECONDS, site.isCalm ? SOUND : FATAL),
  ]);
  const lost = (await Promise.all(requests)).filter((isLost) => isLost).length;
  site.note(`${crashes.length} crashes; ${lost} of ${requests.length} sound requests not whole`);
  const fifthAt = crashes[CRASHES_BEFORE - 1] ?? Number.POSITIVE_INFINITY;
  const late = site.runs.filter(
    ({ prompt, at }) => hasFatalPart(prompt) && at > fifthAt + CONTACT_MILLISECONDS,
  );
  if (late.length <= REQUESTS_ALLOWED) return [];
  return [
    `${late.length} requests with the fatal part reached runners later than ${CONTACT_MILLISECONDS} ms ` +
      `after the fifth of ${crashes.length} crashes`,
  ];
});
