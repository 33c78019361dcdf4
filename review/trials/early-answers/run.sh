#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../../.." || exit 2
rm -f review/trials/early-answers/record.txt
TROUBLE="${TROUBLE:-1}" python3 review/trials/early-answers/case.py
result=$?
grep -q ' result ' review/trials/early-answers/record.txt || exit 2
exit $result
