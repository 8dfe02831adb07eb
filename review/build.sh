#!/usr/bin/env bash
# Builds the stand-ins of the scripts (standard library only) into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
rustc --edition 2021 -O -o target/case standins/case.rs
