#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are scripts in Python's standard library: there is nothing to
# build. Checks that the interpreter is new enough and reads them.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || exit 1
for file in lib-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
