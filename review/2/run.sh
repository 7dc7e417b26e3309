#!/usr/bin/env bash
# Exits with 1 if the requests of an added route are hardly served any more, 0 if they are, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/lost_places ] || exit 2
exec review/bin/lost_places target/apps/quetzallever/quetzallever review/2/record.txt
