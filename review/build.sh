#!/usr/bin/env bash
# Builds the stand-ins and the tests of the review's cases into build-review/, without a network; leaves build/ as it is.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review
cmake --build build-review -j4
