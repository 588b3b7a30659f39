#!/bin/sh
# run-case.sh FOLDER NAME: runs the case NAME and writes record.txt into its FOLDER. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
case=$root/review/standins/target/release/$2
if [ ! -x "$case" ] || [ ! -x "$root/target/release/steprelay" ]; then
    echo "build first: the deploy file's command and review/build.sh" >&2
    exit 2
fi
scratch=$(mktemp -d) || exit 2
timeout 110 "$case" "$folder" "$root" "$scratch"
status=$?
# A run that was cut short leaves the call agents that it had started: their ids are in this file.
if [ $status -gt 2 ] && [ -f "$scratch/started" ]; then
    while read -r process; do
        kill -KILL "$process" 2> /dev/null
    done < "$scratch/started"
fi
rm -rf "$scratch"
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
