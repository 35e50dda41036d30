"""Starts a node on the users' platform from a checkout, without installing the package."""

import signal
import sys
from pathlib import Path

# A SIGHUP that comes before the node handles it would end the process. The node reads its settings
# later, so nothing is lost.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from auburnsail.platform import main

if __name__ == "__main__":
    main()
