#!/usr/bin/env bash
# Builds the stand-ins of the second review. It needs Go only, and no network.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
GOWORK=off go build -o bin/ .
