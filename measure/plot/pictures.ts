/**
 * The pictures of the pages: which measured lines each one shows, and how.
 */
import { z } from 'zod';

import { Chart } from './Chart.js';
import type { Point, Series } from './Chart.js';
import { LinearScale, LogarithmicScale } from './Scale.js';

/** What is drawn of a line of `npm run measure -- --json`. */
const routingLine = z.object({
  policy: z.string(),
  bound: z.number(),
  daemons: z.int(),
  runners: z.int(),
  skewMax: z.number(),
  reuse: z.number(),
});

/** What is drawn of a line of `npm run measure -- control --json`. */
const controlLine = z.object({
  members: z.int(),
  inForceMedianSeconds: z.number(),
  inForceMaximumSeconds: z.number(),
  controlBytesPerSecond: z.number(),
  controlBytesPerSecondMaximum: z.number(),
});

type RoutingLine = z.infer<typeof routingLine>;
type ControlLine = z.infer<typeof controlLine>;

/** One file of measured lines with the pictures that come from it. */
export interface PictureSource {
  /** File of JSON lines, without folder. */
  readonly data: string;
  /**
   * @param lines - content of the file, parsed.
   * @returns SVG text by file name.
   */
  readonly draw: (lines: readonly unknown[]) => ReadonlyMap<string, string>;
}

const PERCENT = 100;

/** What a daemon may spend on control in all, in bytes a second, and a change may take, in seconds. */
const CONTROL_LIMIT = 17_000;
const IN_FORCE_LIMIT_SECONDS = 6;

/** Policy of the product among the baselines, and the bound at which they are compared. */
const DESIGN = 'design';
const USUAL_BOUND = 1.25;

const SKEW_TITLE = 'largest skew: busiest runner ÷ mean';
const REUSE_TITLE = 'returning chats on a warm runner, %';

const SKEW = { from: 1, to: 20, ticks: [1, 1.25, 1.5, 2, 3, 5, 10, 20] };
const REUSE = { from: 0, to: 100, ticks: [0, 20, 40, 60, 80, 90, 100] };
const FRONTIER_SKEW = { from: 1, to: 2.4, ticks: [1, 1.2, 1.4, 1.6, 1.8, 2, 2.2, 2.4] };
const FRONTIER_REUSE = { from: 90, to: 100, ticks: [90, 92, 94, 96, 98, 100] };
const MEMBERS = { from: 6, to: 500, ticks: [8, 130, 390] };
const BYTES = { from: 0, to: 20_000, ticks: [0, 5_000, 10_000, 15_000, 20_000] };
const SECONDS = { from: 0, to: 8, ticks: [0, 1, 2, 3, 4, 5, 6, 7, 8] };

function pointOf({ skewMax, reuse }: RoutingLine): Point {
  return { x: skewMax, y: reuse * PERCENT };
}

function drawPolicies(lines: readonly RoutingLine[]): string {
  const [{ daemons, runners }] = lines as readonly [RoutingLine];
  const usual = lines.filter(({ bound }) => bound === USUAL_BOUND);
  return new Chart({
    title: `Policies at bound ${USUAL_BOUND}: ${daemons} daemons before ${runners} runners`,
    horizontal: { title: SKEW_TITLE, scale: new LogarithmicScale(SKEW) },
    vertical: { title: REUSE_TITLE, scale: new LinearScale(REUSE) },
    series: usual.map((line) => ({ name: line.policy, points: [pointOf(line)], joined: false })),
  }).draw();
}

function drawFrontier(lines: readonly RoutingLine[], sizes: readonly number[]): string {
  return new Chart({
    title: 'Frontier of the design: reuse against skew, by bound',
    horizontal: {
      title: `${SKEW_TITLE}; beside each point its bound`,
      scale: new LinearScale(FRONTIER_SKEW),
    },
    vertical: { title: REUSE_TITLE, scale: new LinearScale(FRONTIER_REUSE) },
    series: sizes.map((size) => ({
      name: `${size} daemons`,
      points: lines
        .filter(({ daemons, policy }) => daemons === size && policy === DESIGN)
        .map((line) => ({ ...pointOf(line), label: line.bound.toFixed(2) })),
      joined: true,
    })),
  }).draw();
}

function drawRouting(lines: readonly unknown[]): ReadonlyMap<string, string> {
  const runs = z.array(routingLine).min(1).parse(lines);
  const sizes = [...new Set(runs.map(({ daemons }) => daemons))];
  const ofSize = (size: number) => runs.filter(({ daemons }) => daemons === size);
  return new Map([
    ['frontier.svg', drawFrontier(runs, sizes)],
    ...sizes.map((size) => [`policies-${size}.svg`, drawPolicies(ofSize(size))] as const),
  ]);
}

function byMembers(
  name: string,
  lines: readonly ControlLine[],
  value: (line: ControlLine) => number,
): Series {
  const points = lines.map((line) => ({ x: line.members, y: value(line) }));
  return { name, points, joined: true };
}

function drawControl(lines: readonly unknown[]): ReadonlyMap<string, string> {
  const runs = z.array(controlLine).min(1).parse(lines);
  const horizontal = { title: 'daemons', scale: new LogarithmicScale(MEMBERS) };
  const bytes = new Chart({
    title: 'Agreement between daemons: bytes of one daemon',
    horizontal,
    vertical: { title: 'bytes a second', scale: new LinearScale(BYTES) },
    limits: [{ name: 'limit, all control, both ways', y: CONTROL_LIMIT }],
    series: [
      byMembers('sent, mean', runs, (line) => line.controlBytesPerSecond),
      byMembers('sent, largest', runs, (line) => line.controlBytesPerSecondMaximum),
      byMembers('both ways, mean', runs, (line) => 2 * line.controlBytesPerSecond),
    ],
  });
  const inForce = new Chart({
    title: 'From the commit of a change until the last daemon has it in force',
    horizontal,
    vertical: { title: 'seconds', scale: new LinearScale(SECONDS) },
    limits: [{ name: 'limit', y: IN_FORCE_LIMIT_SECONDS }],
    series: [
      byMembers('median of the changes', runs, (line) => line.inForceMedianSeconds),
      byMembers('slowest change', runs, (line) => line.inForceMaximumSeconds),
    ],
  });
  return new Map([
    ['control-bytes.svg', bytes.draw()],
    ['in-force.svg', inForce.draw()],
  ]);
}

/** All pictures. */
export const PICTURE_SOURCES: readonly PictureSource[] = [
  { data: 'routing.jsonl', draw: drawRouting },
  { data: 'control.jsonl', draw: drawControl },
];
