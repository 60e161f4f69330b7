#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library, so there is
# nothing to compile: the script checks that the interpreter accepts them and that the program of
# the deploy build is there.
set -eu
cd "$(dirname "$0")"
for source in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
test -x ../target/bin/cyclamenpost_entry || {
    echo "target/bin/cyclamenpost_entry is missing: run the build line of deploy/system.toml" >&2
    exit 1
}
