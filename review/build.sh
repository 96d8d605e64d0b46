#!/bin/bash
# Builds the stand-ins of the scripts into target/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
