/**
 * `npm run plot`: draws the diagrams in `docs/plots/` from the results in the same folder.
 *
 * New results come from `npm run -s measure -- --json > docs/plots/routing.jsonl` and
 * `npm run -s measure -- control --json > docs/plots/control.jsonl`.
 */
import { writeFileSync } from 'node:fs';

import { drawPictures } from './plot/drawPictures.js';

for (const { path, svg } of drawPictures()) {
  writeFileSync(path, svg);
  console.log(path);
}
