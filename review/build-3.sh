#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -eu
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-3 .
