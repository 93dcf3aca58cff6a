#!/bin/sh
# Builds the stand-ins of the review's cases into target/review. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
