#!/usr/bin/env bash
# Case 1 without a crash: the engines read on after 4.5 s, with TROUBLE=0 after 1.5 s. Exits as the case's run.sh does.
# Writes record.txt beside this file: what was sent, answered and run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../../.."
[ -x target/review-standin ] && [ -x target/stilemast ] || { echo "build first" >&2; exit 2; }
exec target/review-standin case late "$here/record.txt"
