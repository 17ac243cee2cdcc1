#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside this file.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
exec "$folder/../harness/run-case.sh" late-copy-of-rejection "$folder/record.txt"
