#!/bin/sh
# Builds what the scripts review/6 to review/10 start beside the programs of the deploy file. From the root, after its build.
cd "$(dirname "$0")/.." || exit 2
exec go build -o bin/review-2 ./review/standin-2
