"""Starts the daemon from a checkout, with the libraries under `target/deps`."""

import pathlib
import signal
import sys

# Its default ends the process; the imports below take a while.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from sassafrashall import daemon  # noqa: E402

sys.exit(daemon.main())
