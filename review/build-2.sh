#!/bin/sh
# Builds the scenarios of the second review with their stand-ins, out of what `npm ci` has installed.
set -eu
cd "$(dirname "$0")/.."
for scenario in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$scenario/scenario.ts" ] || continue
  node_modules/.bin/esbuild "$scenario/scenario.ts" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning "--outfile=target/review-2/$(basename "$scenario").mjs" \
    "--banner:js=import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
