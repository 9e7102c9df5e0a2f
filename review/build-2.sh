#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR=target/review-2 \
    exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml
