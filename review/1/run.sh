#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/1/scenario.js ] && [ -f target/router.cjs ] || exit 2
exec node target/review/1/scenario.js
