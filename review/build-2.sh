#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The programs of the system are built by the line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig-2 ./review/rig-2
