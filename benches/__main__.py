"""Run the bench named by the first argument."""

import importlib
import pkgutil
import sys

import benches


def main():
    """Run ``python -m benches NAME [ARGUMENTS]``; exit with the bench's code."""
    names = sorted(
        module.name
        for module in pkgutil.iter_modules(benches.__path__)
        if not module.name.startswith("_")
    )
    if len(sys.argv) < 2 or sys.argv[1] not in names:
        print("usage: bin/bench NAME, with NAME one of:", *names, file=sys.stderr)
        sys.exit(2)
    module = importlib.import_module(f"benches.{sys.argv[1]}")
    sys.exit(module.main(sys.argv[2:]))


if __name__ == "__main__":
    main()
