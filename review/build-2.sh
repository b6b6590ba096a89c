#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 8 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
cargo build --release --offline --locked
