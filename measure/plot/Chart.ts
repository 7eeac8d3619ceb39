/**
 * Draws one picture as SVG text: two axes, series of points, limits, a legend.
 */
import type { Scale } from './Scale.js';

/** One point; its label stands beside it. */
export interface Point {
  readonly x: number;
  readonly y: number;
  readonly label?: string;
}

/** Points of one kind. */
export interface Series {
  readonly name: string;
  readonly points: readonly Point[];
  /** Whether a line joins the points, in their order. */
  readonly joined: boolean;
}

/** An axis with its title. */
export interface Axis {
  readonly title: string;
  readonly scale: Scale;
}

/** A value of the vertical axis that must not be passed. */
export interface Limit {
  readonly name: string;
  readonly y: number;
}

/** Options of a {@link Chart}. */
export interface ChartOptions {
  title: string;
  horizontal: Axis;
  vertical: Axis;
  series: readonly Series[];
  limits?: readonly Limit[];
}

const WIDTH = 760;
const HEIGHT = 440;
const LEFT = 80;
const RIGHT = 210;
const TOP = 48;
const BOTTOM = 60;
const LEGEND_LINE = 20;
const LEGEND_GAP = 24;
const POINT_RADIUS = 4;
const LABEL_OFFSET = 7;
const TICK_LABEL_OFFSET = 18;

/** Told apart also by readers who do not see red from green. */
const COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#7a5c00', '#444444'] as const;
const LIMIT_COLOUR = '#b00020';

const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;' };

function escape(text: string): string {
  return text.replace(/[&<>]/gu, (character) => ESCAPES[character]!);
}

/** Tenths of a pixel, so that the text of a picture changes only when the picture does. */
function coordinate(value: number): string {
  return String(Math.round(value * 10) / 10);
}

function caption(x: number, y: number, content: string, attributes = ''): string {
  return `<text x="${coordinate(x)}" y="${coordinate(y)}"${attributes}>${escape(content)}</text>`;
}

function line(from: readonly [number, number], to: readonly [number, number], stroke: string) {
  const [x1, y1] = from.map(coordinate);
  const [x2, y2] = to.map(coordinate);
  return `<line x1="${x1}" y1="${y1}" x2="${x2}" y2="${y2}" ${stroke}/>`;
}

/** One picture. */
export class Chart {
  private readonly options: ChartOptions;

  /**
   * @param options - what to draw.
   */
  constructor(options: ChartOptions) {
    this.options = options;
  }

  /**
   * @returns The SVG document; the same for the same options.
   * @throws Error when a point lies outside of the axes.
   */
  draw(): string {
    const { title, series, limits = [] } = this.options;
    const elements = [
      caption(LEFT, TOP / 2, title, ' font-size="16" font-weight="bold"'),
      ...this.horizontalAxis(),
      ...this.verticalAxis(),
      ...limits.flatMap((limit) => this.limit(limit)),
      ...series.flatMap((one, index) =>
        this.series(one, COLOURS[index % COLOURS.length]!, series.length - 1 - index),
      ),
    ];
    const size = `width="${WIDTH}" height="${HEIGHT}" viewBox="0 0 ${WIDTH} ${HEIGHT}"`;
    return [
      `<svg xmlns="http://www.w3.org/2000/svg" ${size} font-family="sans-serif" font-size="12">`,
      `<title>${escape(title)}</title>`,
      `<rect width="${WIDTH}" height="${HEIGHT}" fill="#ffffff"/>`,
      ...elements,
      '</svg>',
      '',
    ].join('\n');
  }

  private x(value: number): number {
    return LEFT + this.options.horizontal.scale.position(value) * (WIDTH - LEFT - RIGHT);
  }

  private y(value: number): number {
    return HEIGHT - BOTTOM - this.options.vertical.scale.position(value) * (HEIGHT - TOP - BOTTOM);
  }

  private horizontalAxis(): string[] {
    const { title, scale } = this.options.horizontal;
    const bottom = HEIGHT - BOTTOM;
    const ticks = scale.ticks.flatMap((tick) => [
      line([this.x(tick), TOP], [this.x(tick), bottom], 'stroke="#e0e0e0"'),
      caption(this.x(tick), bottom + TICK_LABEL_OFFSET, String(tick), ' text-anchor="middle"'),
    ]);
    const middle = (LEFT + WIDTH - RIGHT) / 2;
    const titleAt = bottom + 2 * TICK_LABEL_OFFSET;
    return [...ticks, caption(middle, titleAt, title, ' text-anchor="middle"')];
  }

  private verticalAxis(): string[] {
    const { title, scale } = this.options.vertical;
    const ticks = scale.ticks.flatMap((tick) => [
      line([LEFT, this.y(tick)], [WIDTH - RIGHT, this.y(tick)], 'stroke="#e0e0e0"'),
      caption(LEFT - LABEL_OFFSET, this.y(tick) + 4, String(tick), ' text-anchor="end"'),
    ]);
    const middle = (TOP + HEIGHT - BOTTOM) / 2;
    const turned = ` text-anchor="middle" transform="rotate(-90 ${TICK_LABEL_OFFSET} ${middle})"`;
    return [...ticks, caption(TICK_LABEL_OFFSET, middle, title, turned)];
  }

  private limit({ name, y }: Limit): string[] {
    const stroke = `stroke="${LIMIT_COLOUR}" stroke-dasharray="6 4"`;
    return [
      line([LEFT, this.y(y)], [WIDTH - RIGHT, this.y(y)], stroke),
      caption(WIDTH - RIGHT + LABEL_OFFSET, this.y(y) + 4, name, ` fill="${LIMIT_COLOUR}"`),
    ];
  }

  private series({ name, points, joined }: Series, colour: string, fromBottom: number): string[] {
    const places = points.map(({ x, y }) => `${coordinate(this.x(x))},${coordinate(this.y(y))}`);
    const path = `<polyline points="${places.join(' ')}" fill="none" stroke="${colour}"/>`;
    const dots = points.flatMap((point) => this.point(point, colour));
    return [...(joined ? [path] : []), ...dots, ...Chart.legend(name, colour, fromBottom)];
  }

  private point({ x, y, label }: Point, colour: string): string[] {
    const [centreX, centreY] = [this.x(x), this.y(y)];
    const dot = `<circle cx="${coordinate(centreX)}" cy="${coordinate(centreY)}" r="${POINT_RADIUS}" fill="${colour}"/>`;
    if (label === undefined) return [dot];
    const beside = caption(
      centreX + LABEL_OFFSET,
      centreY - LABEL_OFFSET,
      label,
      ' font-size="11"',
    );
    return [dot, beside];
  }

  private static legend(name: string, colour: string, fromBottom: number): string[] {
    const x = WIDTH - RIGHT + LEGEND_GAP;
    const y = HEIGHT - BOTTOM - fromBottom * LEGEND_LINE;
    return [
      `<circle cx="${x}" cy="${y - POINT_RADIUS}" r="${POINT_RADIUS}" fill="${colour}"/>`,
      caption(x + 2 * LABEL_OFFSET, y, name),
    ];
  }
}
