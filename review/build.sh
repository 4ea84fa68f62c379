#!/usr/bin/env bash
# Builds and checks the stand-ins of the cases. They are Python modules that use the
# libraries of the deploy file's build in target/deps and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -S -c "import standins.store, review.deployment, review.client, review.endpoint"
for case in review/[1-5]/case.py; do
    python3 -S - "$case" <<'PY'
import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
PY
done
