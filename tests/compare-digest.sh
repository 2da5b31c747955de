#!/bin/sh
# Compares the decision module's actions with those of another revision, on this machine: runs the full sequences of
# tests/action_digest there, in a temporary worktree and with that revision's test, and here.
# Usage: tests/compare-digest.sh REV
set -eu
cd "$(dirname "$0")/.."
revision=$(git rev-parse --verify "${1:?usage: tests/compare-digest.sh REV}^{commit}")
folder=$(mktemp -d)
trap 'git worktree remove --force "$folder/there" 2>/dev/null || true; rm -rf "$folder"' EXIT
git worktree add --quiet --detach "$folder/there" "$revision"
digests() { # FOLDER TARGET
  (cd "$1" && CARGO_TARGET_DIR="$2" cargo test --quiet --locked --test action_digest -- --ignored --exact --nocapture \
    full_digests) >"$folder/output" || { cat "$folder/output" >&2; return 1; }
  sed -n 's/.*\(digest settings=.*\)/\1/p' "$folder/output"
}
here=${CARGO_TARGET_DIR:-$PWD/target}
digests "$folder/there" "$here/compare-digest" >"$folder/before"
digests . "$here" >"$folder/after"
[ "$(wc -l <"$folder/before")" -eq 3 ] || { echo "no digests of $revision" >&2; exit 1; }
if ! diff "$folder/before" "$folder/after"; then
  echo "the actions differ from those of $revision" >&2
  exit 1
fi
echo "same actions as $revision:"
cat "$folder/after"
