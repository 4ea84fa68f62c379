"""Test that the binary contains every library that the product imports."""

import ast
import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE_OF_PACKAGE = {"attrs": "attrs", "prometheus-client": "prometheus_client"}


def bundled_modules():
    lock = (ROOT / "requirements-runtime.lock").read_text(encoding="utf-8")
    packages = re.findall(r"^([a-z0-9-]+)==", lock, re.MULTILINE)
    return {MODULE_OF_PACKAGE.get(name, name.replace("-", "_")) for name in packages}


def imported_modules():
    for path in (ROOT / "sesamespring").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                yield from (alias.name.partition(".")[0] for alias in node.names)
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                yield node.module.partition(".")[0]


def test_each_imported_library_is_bundled():
    bundled = bundled_modules() | set(sys.stdlib_module_names) | {"sesamespring"}
    assert set(imported_modules()) <= bundled
