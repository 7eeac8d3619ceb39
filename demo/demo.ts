/**
 * Shows the main features within a minute, with separate processes: a chat of one firm and a handover of the other, while
 * a daemon and a runner are killed. `npm run demo [-- --binary dist/baobabdock --logs DIRECTORY]`.
 */
import { parseArgs } from 'node:util';

import type { CallResult } from '../standIns/callers/CallerClient.js';
import { CallerClient } from '../standIns/callers/CallerClient.js';
import { FleetProcesses } from '../standIns/fleet/FleetProcesses.js';
import type { TwoFirms } from '../standIns/fleet/twoFirms.js';
import { startTwoFirms, waitForGates } from '../standIns/fleet/twoFirms.js';
import { Story } from './Story.js';

/** Prompt text that is long enough for a cached prefix to be noticeable. */
const CATALOGUE = 'Glazed stoneware, 60 x 60, matt, frost-proof, R10. '.repeat(80);

const OPENING = [
  { role: 'system', content: `You help at the counter of a tile showroom. ${CATALOGUE}` },
  { role: 'user', content: 'Which of these tiles suits a terrace?' },
];

const NEXT_TURN = [
  ...OPENING,
  { role: 'assistant', content: 'The matt stoneware, because it is frost-proof.' },
  { role: 'user', content: 'And is it slip-resistant?' },
];

function describe({ status, entry, runner, cachedTokens, whole, code, text }: CallResult): string {
  const ending = whole ? 'whole' : `not whole ${code} ${text}`;
  return `status ${status} by ${entry}, runner ${runner}, ${cachedTokens} tokens cached, ${ending}`;
}

/** The chat of one caller. */
class Showroom {
  private readonly client: CallerClient;

  private entries: readonly string[] = [];

  /**
   * @param story - output of the demo.
   * @param model - name of the model.
   * @param chat - name of the chat.
   * @param options - addresses of daemons, and the key of the client account.
   */
  constructor(
    private readonly story: Story,
    private readonly model: string,
    private readonly chat: string,
    options: { entries: readonly string[]; key: string },
  ) {
    this.client = new CallerClient(options);
  }

  /** Asks which addresses to use, and keeps them for the next requests. */
  async locate(): Promise<void> {
    this.entries = await this.client.locate(`model=${this.model}&chat=${this.chat}`);
    this.story.tell(`${this.chat}: locate says ${this.entries.join(', ')}`);
  }

  /**
   * @param messages - messages of the chat so far.
   * @returns The answer.
   */
  async ask(messages: typeof OPENING): Promise<CallResult> {
    const question = { model: this.model, chat: this.chat, messages };
    const result = await this.client.chat(question, this.entries);
    this.story.check(result.whole, `${this.chat}: ${describe(result)}`);
    return result;
  }
}

async function playChat(story: Story, firms: TwoFirms, fleet: FleetProcesses): Promise<void> {
  const entries = firms.daemons.map(({ callerAddress }) => callerAddress);
  const key = firms.keys['litoral-showroom-centro']!;
  const showroom = new Showroom(story, 'tile-sales', 'terrace-quotation', { entries, key });
  story.chapter('A chat, and its return');
  await showroom.locate();
  const first = await showroom.ask(OPENING);
  const second = await showroom.ask(NEXT_TURN);
  story.check(second.runner === first.runner, 'the chat returned to the runner that knows it');
  story.check(second.cachedTokens > 0, `${second.cachedTokens} tokens of its prefix were cached`);

  story.chapter('The daemon that serves this chat is killed');
  const victim = firms.daemons.find(({ callerAddress }) => callerAddress === second.entry)!;
  await victim.program.kill();
  story.tell(`killed ${victim.id}`);
  await showroom.locate().catch(() => story.tell('locate failed'));
  await showroom.ask(NEXT_TURN);
  story.tell('served at once by another daemon; the killed one held the gate of the warm runner');
  await waitForGates(fleet, victim.id);
  story.tell('its gates have moved to the daemons that are left');
  const again = await showroom.ask(NEXT_TURN);
  story.check(again.cachedTokens > 0, `back at a runner that knows the chat: ${again.runner}`);

  story.chapter('The runner that knows this chat is killed');
  const runner = firms.runners.find(({ id }) => id === again.runner)!;
  await runner.program.kill();
  story.tell(`killed ${runner.id}`);
  const fourth = await showroom.ask(NEXT_TURN);
  story.check(fourth.runner !== runner.id, 'another runner gave the answer');
  await fleet.listRunner(runner, 'leaving');
}

async function playHandover(story: Story, firms: TwoFirms): Promise<void> {
  story.chapter('A handover confirmation, which runs at most once');
  const entries = firms.daemons
    .filter(({ program }) => program.running)
    .map(({ callerAddress }) => callerAddress);
  const client = new CallerClient({ entries, key: firms.keys['kutiya-agent-varna']! });
  const call = {
    method: 'POST',
    path: '/services/parcel-tracking/handovers',
    body: { parcel: 'P-4711' },
  };
  const refused = await client.plain(call);
  story.check(
    refused.code === 'binding_required' && refused.notRun,
    `without a binding: ${refused.status} ${refused.code}, not run: ${refused.notRun}`,
  );
  const { binding } = refused;
  const done = await client.plain({ ...call, binding });
  story.check(done.status < 300, `with its binding: ${describe(done)} ${done.text}`);
  const elsewhere = new CallerClient({
    entries: [...entries].reverse(),
    key: firms.keys['kutiya-agent-varna']!,
  });
  const repeated = await elsewhere.plain({ ...call, binding });
  story.check(
    repeated.text === done.text,
    `repeated through another daemon, the same answer: ${repeated.status} ${repeated.text}`,
  );
  const item = await client.plain({
    method: 'GET',
    path: '/services/parcel-tracking/parcels/P-4711',
  });
  story.tell(`the service has it as: ${item.text}`);
}

async function play(): Promise<number> {
  const { values } = parseArgs({
    options: { binary: { type: 'string' }, logs: { type: 'string' } },
  });
  const story = new Story();
  const fleet = new FleetProcesses(values);
  try {
    story.chapter('Starting both firms');
    const firms = await startTwoFirms(fleet);
    for (const { id, callerAddress } of firms.daemons)
      story.tell(`${id} serves callers at ${callerAddress}`);
    for (const { id, address } of firms.runners) story.tell(`${id} at ${address}`);
    await playChat(story, firms, fleet);
    await playHandover(story, firms);
  } finally {
    await fleet.stop();
  }
  story.chapter(
    story.failures === 0 ? 'All went as it had to.' : `${story.failures} checks failed.`,
  );
  return story.failures === 0 ? 0 : 1;
}

process.exitCode = await play();
