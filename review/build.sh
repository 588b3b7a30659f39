#!/bin/sh
# Builds the stand-ins of all cases. They have no dependencies.
set -eu
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
