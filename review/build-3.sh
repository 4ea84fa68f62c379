#!/usr/bin/env bash
# Build the stand-ins that the scripts 11 to 15 start. They are Python modules which run
# in the script's own process, with the libraries of the deploy file's build.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -S - <<'PY'
import importlib.util
import pathlib

import review.harness_3.client
import review.harness_3.deployment
import review.harness_3.record
import standins.platform_target
import standins.store

for case in sorted(pathlib.Path("review").glob("1[1-5]/case.py")):
    spec = importlib.util.spec_from_file_location("case", case)
    spec.loader.exec_module(importlib.util.module_from_spec(spec))
    print(case)
PY
