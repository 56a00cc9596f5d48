#!/bin/sh
# Builds the stand-ins and the runner of the cases into target/, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
