#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. KEEP_LOGS=FOLDER keeps the logs of the project's programs.
cd "$(dirname "$0")/../.." || exit 2
driver=review/standin/target/release/review-standin
[ -x "$driver" ] && [ -x target/release/toucanquay-platform ] || exit 2
exec "$driver" case worker review/2/record.txt
