#!/bin/sh
cd "$(dirname "$0")/../.." && exec node target/review/5.cjs
