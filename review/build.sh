#!/usr/bin/env bash
# Checks that the stand-ins and the cases compile. They need the standard library of Python 3.11 alone, so
# there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
