#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 11 to 15: they are Python without dependencies, so that
# this only checks that they compile. The programs are built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ]
PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q review/harness3 review/1[1-5]
