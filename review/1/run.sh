#!/usr/bin/env bash
# Exits with 1 if a request was given inputs of another request, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/foreign_inputs ] || exit 2
exec review/bin/foreign_inputs target/apps/quetzallever/quetzallever review/1/record.txt
