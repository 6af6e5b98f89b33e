#!/usr/bin/env bash
# Builds the program of each case, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[0-9]; do
  if [ -e "$case/main.go" ]; then
    go build -o "target/review-$(basename "$case")" "./$case"
  fi
done
