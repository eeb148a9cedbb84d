#!/usr/bin/env bash
# The scripts of the cases 11 to 15 start the program that the deploy file builds, and stand-ins in
# Python (lib3), which need no build. Checks that these can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
