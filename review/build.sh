#!/bin/sh
# Builds the stand-ins of the scripted cases with the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
# rustup's toolchains lie in the home directory of whoever installed them.
PATH="${CARGO_HOME:-${HOME:-}/.cargo}/bin:$PATH"
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
