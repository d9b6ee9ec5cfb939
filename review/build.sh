#!/bin/sh
# Builds the stand-ins of all cases. They use the standard library only, so no registry is needed.
set -e
cd "$(dirname "$0")/standins"
exec cargo build --release --offline
