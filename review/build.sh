#!/bin/sh
# Builds the programs of the cases, with the stand-ins that they start, from what `npm ci` has installed.
set -e
cd "$(dirname "$0")/.."
exec node --import tsx review/buildCases.ts
