#!/bin/sh
# Everything a change has to pass; see README.md. The limits of the decision module are in tests/limits.rs.
# Each step prints its name and its time; the first that fails ends the run and is named on standard error.
# Tests that KNOWN-RED.txt names ("test: cause, issue") are run on their own and have to fail: one that passes must be
# taken off the list.
set -eu
cd "$(dirname "$0")"

# step NAME COMMAND...: runs the command as a step of this name.
step() {
  step_name=$1
  shift
  echo "== $step_name"
  step_start=$(date +%s)
  step_code=0
  "$@" || step_code=$?
  step_seconds=$(($(date +%s) - step_start))
  if [ "$step_code" -ne 0 ]; then
    echo "== $step_name: FAILED after $step_seconds s, exit code $step_code" >&2
    exit "$step_code"
  fi
  echo "== $step_name: passed in $step_seconds s"
}

# known_red_fails NAME: succeeds if the test exists and fails.
known_red_fails() {
  if result=$(cargo test --workspace --locked -- --exact "$1" 2>&1); then
    echo "KNOWN-RED.txt names $1, which passes or does not exist: take it off the list" >&2
    return 1
  fi
  case "$result" in
    *"test $1 ... FAILED"*) echo "known red: $(grep "^$1: " KNOWN-RED.txt)" ;;
    *)
      printf '%s\n' "$result" >&2
      return 1
      ;;
  esac
}

known_red=""
[ ! -f KNOWN-RED.txt ] || known_red=$(sed -n 's/^\([A-Za-z0-9_:]*\): .*/\1/p' KNOWN-RED.txt)
skip=""
for name in $known_red; do skip="$skip --skip $name"; done

step "formatter" cargo fmt --all --check
step "linter" cargo clippy --workspace --all-targets --locked -- -D warnings
step "docs" env RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
# shellcheck disable=SC2086
step "tests" cargo test --workspace --locked -- --exact $skip
for name in $known_red; do step "known red: $name" known_red_fails "$name"; done
step "release build" cargo build --release --locked
