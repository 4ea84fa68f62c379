"""Run the command line as ``python -m sesamespring``."""

from sesamespring.cli import main

if __name__ == "__main__":
    main()
