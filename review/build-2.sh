#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, among them the project's own store. Needs no network: all packages
# are those of the workspace's Cargo.lock. The daemon itself is built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
