#!/bin/sh
# Runs one case: run-2.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/review-2/$2
if [ ! -x "$program" ]; then
  echo "the case could not run: build it with review/build-2.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
CASE_DIR=$folder ROOT=$root CASE_TMP=$temporary "$program"
