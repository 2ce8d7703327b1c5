#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
