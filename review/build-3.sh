#!/bin/sh
# Builds the stand-ins of the third review into target/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/stand-in-3
