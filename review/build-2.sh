#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10). They have no dependencies and need no network.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline
