#!/bin/sh
# Builds the stand-ins of the cases. The program itself is built by the deploy file.
set -eu
cd "$(dirname "$0")/stand"
exec cargo build --release --offline --locked
