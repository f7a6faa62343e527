#!/bin/sh
# Builds the stand-ins of the cases. The build of the deploy file comes first.
cd "$(dirname "$0")/.." && exec go build -o target/review-lab ./review/lab
