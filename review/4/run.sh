#!/usr/bin/env bash
# Exits with 1 if a cold endpoint got more requests than the bound, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/split_fleet ] || exit 2
exec review/bin/split_fleet target/apps/quetzallever/quetzallever review/4/record.txt
