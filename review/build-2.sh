#!/usr/bin/env bash
# Checks that all that the cases 6 to 10 start can be started: after the build of the
# deploy file, the stand-ins are plain Python and need no further build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -S - <<'END'
import pathlib
import sys

sys.path[:0] = [".", "review/harness_2"]
import bench
import standins.store
import sesamespring.gateway.daemon

for number in range(6, 11):
    case = pathlib.Path(f"review/{number}/case.py")
    if not case.exists():
        continue
    compile(case.read_bytes(), str(case), "exec")
    print(f"{case}: ready")
END
