#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. Needs no network: all crates are those of the
# program itself.
set -eu
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
