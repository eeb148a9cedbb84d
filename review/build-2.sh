#!/bin/sh
# Checks the stand-ins and scripts of the second review. They are Python programs of this folder,
# started by the cases themselves; nothing is compiled into the repository.
set -e
cd "$(dirname "$0")"
for it in lib2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$it" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it"
done
