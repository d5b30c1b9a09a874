#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes record.txt beside this file: what was sent, answered and run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -x target/review-standin ] && [ -x target/stilemast ] || { echo "build first" >&2; exit 2; }
exec target/review-standin case silence "$here/record.txt"
