#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 runs it without
# the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/acaciaspar ] && [ -x target/review-3/cases ] || exit 2
exec target/review-3/cases budget review/15
