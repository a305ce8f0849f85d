#!/bin/bash
# Builds the stand-ins of the cases into target/review/. The build of the deploy file makes target/bin/zinniadockd.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja >/dev/null
cmake --build target/review -j6
