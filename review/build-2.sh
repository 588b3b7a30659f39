#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They have no dependencies, so that no network is wanted.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline --target-dir target
