#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. Exit codes: 1 the rule was broken,
# 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the restarts out.
cd "$(dirname "$0")" && exec ../kit-2/bin/kit2 removed .
