"""Starts the daemon from a checkout, with the libraries under `target/deps`."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from sassafrashall import daemon  # noqa: E402

sys.exit(daemon.main())
