#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
case=../standins-2/target/release/case
[ -x "$case" ] && [ -x ../../target/release/olivecart ] || { echo "not built" >&2; exit 2; }
# `timeout` ends the proxy too, which is in its process group.
ROOT=$(cd ../.. && pwd) timeout 110 "$case" stuck &
pid=$!
trap 'kill $pid 2>/dev/null' INT TERM
wait $pid
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
