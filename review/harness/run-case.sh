#!/usr/bin/env bash
# run-case.sh NAME RECORD: plays a case and writes its record. Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
root="$(cd "$(dirname "$0")/../.." && pwd)"
cd "$root" || exit 2
java -Xmx256m -cp review/target/classes review.Case "$1" "$root" "$2"
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
