#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/ ./review/4/rig
