#!/usr/bin/env bash
# Puts the stand-ins that the scripts of review/11 to review/15 start into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
rm -rf "$out"
mkdir -p "$out"
cp -R platform/soak/src/zinniaweir_soak "$out/"
cp -R testkit/src/zinniaweir_testkit "$out/"
cp -R review/standins_3 "$out/"
python3 -m compileall -q "$out"
