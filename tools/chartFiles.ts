/**
 * Finds the chart files of the program.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import type { ChartDefinition } from '../src/charts/chartTypes.js';

/** A chart and its file. */
export interface ChartFile {
  /** Path relative to the root. */
  readonly path: string;
  readonly chart: ChartDefinition;
}

/**
 * @returns All charts below `src`, ordered by path.
 */
export function readChartFiles(): ChartFile[] {
  return readdirSync('src', { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.chart.json'))
    .sort()
    .map((name) => join('src', name))
    .map((path) => ({ path, chart: JSON.parse(readFileSync(path, 'utf8')) as ChartDefinition }));
}
