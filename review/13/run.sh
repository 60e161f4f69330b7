#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/cyclamenpost_entry ] || { echo "the deploy build is missing"; exit 2; }
python3 -c 'import sys; sys.path.insert(0, "../lib-3"); import stand' || exit 2
exec timeout --preserve-status -k 5 118 python3 case.py record.txt
