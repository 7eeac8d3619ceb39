/**
 * Draws all pictures from the measured lines that are kept beside them.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import VError from 'verror';

import { PICTURE_SOURCES } from './pictures.js';

/** Where the lines and the pictures are, from the root. */
export const PLOTS_FOLDER = 'docs/plots';

/** One picture. */
export interface Picture {
  /** Relative to the root. */
  readonly path: string;
  readonly svg: string;
}

function readLines(path: string): unknown[] {
  const lines = readFileSync(path, 'utf8').split('\n');
  return lines.filter((line) => line !== '').map((line) => JSON.parse(line) as unknown);
}

/**
 * @param folder - with the lines.
 * @returns All pictures, as they have to be in that folder.
 * @throws VError that names the file when its lines are missing, malformed, or beyond the axes.
 */
export function drawPictures(folder = PLOTS_FOLDER): Picture[] {
  return PICTURE_SOURCES.flatMap(({ data, draw }) => {
    const path = join(folder, data);
    try {
      const drawn = draw(readLines(path));
      return [...drawn].map(([name, svg]) => ({ path: join(folder, name), svg }));
    } catch (error) {
      throw new VError(error as Error, 'cannot draw %s', path);
    }
  });
}
