#!/usr/bin/env bash
# Checks that the stand-ins and the cases of the second review compile. They need the standard library of
# Python 3.11 alone, so there is nothing else to build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins_2/*.py {6,7,8,9,10}/case.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
