#!/usr/bin/env bash
# Builds the stand-ins of the second review. The programs under test are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin2
