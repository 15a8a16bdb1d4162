"""Installs the libraries that pyproject.toml declares under `target/deps`."""

import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "target" / "deps"

project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
command += ["--disable-pip-version-check", "--target", str(TARGET)]
subprocess.run(command + project["project"]["dependencies"], check=True)
TARGET.touch()
