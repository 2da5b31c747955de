#!/bin/sh
# Builds the stand-ins of the cases and of what else was found. They need the Rust tool chain and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/case*.rs standins/further*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "bin/$name" "$source"
done
