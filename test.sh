#!/bin/sh
# Everything a change has to pass; see README.md. The limits of the decision module are in tests/limits.rs.
# Tests that KNOWN-RED.txt names ("test: cause, issue") are run on their own and have to fail: one that passes must be
# taken off the list.
set -eu
cd "$(dirname "$0")"
known_red=""
[ ! -f KNOWN-RED.txt ] || known_red=$(sed -n 's/^\([A-Za-z0-9_:]*\): .*/\1/p' KNOWN-RED.txt)
skip=""
for name in $known_red; do skip="$skip --skip $name"; done
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# shellcheck disable=SC2086
cargo test --workspace --locked -- --exact $skip
for name in $known_red; do
  if result=$(cargo test --workspace --locked -- --exact "$name" 2>&1); then
    echo "KNOWN-RED.txt names $name, which passes or does not exist: take it off the list" >&2
    exit 1
  fi
  case "$result" in
    *"test $name ... FAILED"*) echo "known red: $(grep "^$name: " KNOWN-RED.txt)" ;;
    *) printf '%s\n' "$result" >&2; exit 1 ;;
  esac
done
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --release --locked
