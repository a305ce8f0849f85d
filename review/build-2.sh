#!/bin/bash
# Builds the stand-ins and clients that the scripts of the cases 6 to 10 start. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2
