#!/bin/sh
# Plays case 9. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/review-2 ] && [ -x ../../bin/heathgap ] || exit 2
exec ../../bin/review-2 9 ../../bin record.txt
