"""Take an earlier build of the daemon from the repository's history."""

import io
import shutil
import subprocess
import tarfile
from pathlib import Path

__all__ = ["PRESENT_BUILD", "build_name", "extract_build"]

# Folder whose packages the VMs of the present build run.
PRESENT_BUILD = Path(__file__).resolve().parent.parent
PRODUCT = "sesamespring"


def build_name(folder):
    """Return the name of the build in a folder, for people."""
    return "the present build" if folder == PRESENT_BUILD else folder.name


def extract_build(commit, folder):
    """Extract the daemon of a commit and return the folder to run it in.

    The modules that start it are those of the present soak.

    Args:
        commit: Name of the commit.
        folder: Path of a folder, in which a new one is made.

    Raises:
        subprocess.CalledProcessError: There is no such commit.
    """
    command = ["git", "archive", "--format=tar", commit, PRODUCT]
    archive = subprocess.run(
        command, cwd=PRESENT_BUILD, check=True, capture_output=True
    ).stdout
    build = folder / f"build-{commit}"
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(build, filter="data")
    soak = Path(__file__).resolve().parent
    shutil.copytree(
        soak, build / soak.name, ignore=shutil.ignore_patterns("__pycache__")
    )
    return build
