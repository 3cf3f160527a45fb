#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review2 .
