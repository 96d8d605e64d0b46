#!/usr/bin/env bash
# Builds the program that plays the scripts of review/6, 7, 9 and 10: stand-ins of the store, replicas and clients.
# The daemon is the one that the build of deploy/system.toml puts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/review-2/scenes ./review/scenes
