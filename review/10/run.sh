#!/bin/bash
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption
# out. Writes record.txt beside itself. Wants the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
export ROOT
standins=$ROOT/review/standins-2/target/release/standins-2
for program in "$standins" "$ROOT/target/release/steprelay"; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
temporary=$(mktemp -d) || exit 2
finish() {
    # A call agent that still runs has a file here that is named by its id.
    for file in "$temporary"/pid-*; do
        [ -e "$file" ] && kill -KILL "${file##*/pid-}" 2> /dev/null
    done
    rm -rf "$temporary"
}
trap finish EXIT
trap 'kill "$runs" 2> /dev/null; wait "$runs"; exit 2' INT TERM
timeout -k 2 110 "$standins" "$(basename "$here")" "$here" "$temporary" &
runs=$!
wait "$runs"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
