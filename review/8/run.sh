#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
case=../standins-2/target/release/case
[ -x "$case" ] && [ -x ../../target/release/olivecart ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
# `timeout` leads a process group, in which the stand-ins and the proxy are: whatever is left of it is killed.
ROOT=$(cd ../.. && pwd) TMPDIR=$folder timeout -s KILL 105 "$case" lengths &
pid=$!
trap 'kill -s KILL -- -$pid 2>/dev/null' INT TERM
wait $pid
code=$?
kill -s KILL -- -$pid 2>/dev/null
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
