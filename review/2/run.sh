#!/usr/bin/env bash
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/gullvaled target/review-2; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2 review/2
