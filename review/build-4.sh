#!/bin/sh
# Builds the stand-ins of the cases 16 to 19. They are plain Python without packages, so they are
# only compiled; the programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - review/harness4 review/16 review/17 review/18 review/19 <<'CHECK'
import sys
from pathlib import Path

for folder in sys.argv[1:]:
    for path in sorted(Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
CHECK
