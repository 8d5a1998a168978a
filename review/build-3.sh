#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs Go and no packages.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-mod=mod go build -trimpath -o ../../target/review-3/cases .
