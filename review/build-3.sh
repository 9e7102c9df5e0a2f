#!/bin/sh
# Builds the stand-ins of the third review. They have no dependencies.
cd "$(dirname "$0")/standin-3" || exit 2
exec cargo build --release --offline --target-dir ../../target/review-3
