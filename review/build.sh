#!/bin/bash
# Builds what the scripts of the cases start, besides the project's programs in target/.
set -e
cd "$(dirname "$0")/casekit"
GOWORK=off go build -o ../bin/casekit .
