#!/bin/sh
# Builds the stand-ins and the drivers of all cases. They use no library but Rust's own.
cd "$(dirname "$0")/standin" || exit 2
exec cargo build --release --offline
