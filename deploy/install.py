# Licensed under the Apache License 2.0: see LICENSE for details.

"""Installs the dependencies that pyproject.toml pins into ``target/deps``."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
TARGET = ROOT / "target" / "deps"


def main() -> None:
    """Install them, and mark the folder as new."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    pip = [sys.executable, "-m", "pip", "install", "-q", "-U"]
    pip += ["--disable-pip-version-check", "--target", str(TARGET)]
    subprocess.run([*pip, *project["project"]["dependencies"]], check=True)
    TARGET.touch()


if __name__ == "__main__":
    main()
