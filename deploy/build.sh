#!/usr/bin/env bash
# Fills target/deps with the third-party libraries and the zinniaweir packages that a VM needs.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/zinniaweir"
for library in workloads dispatch node telemetry; do
    mkdir -p "$deps/zinniaweir"
    cp -R "packages/$library/src/zinniaweir/$library" "$deps/zinniaweir/"
done
cp -R platform/src/zinniaweir/platform "$deps/zinniaweir/"
