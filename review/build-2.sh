#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into target/review-2/, and the project's own programs that they
# start. It needs the Rust tool chain and no network, after the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked --offline
mkdir -p target/review-2
for name in memory crowded_discovery silent_discovery stale_drain drain_undone lost_registrations node; do
  rustc --edition 2024 -O -o "target/review-2/$name" "review/standins-2/$name.rs"
done
