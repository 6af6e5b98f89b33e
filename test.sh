#!/usr/bin/env bash
# Runs all tests: ./test.sh [more flags of go test]
set -euo pipefail
cd "$(dirname "$0")"
exec go test -race -count=1 -timeout 15m "$@" ./...
