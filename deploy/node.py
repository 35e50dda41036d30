"""Starts a node on the users' platform from a checkout, without installing the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from auburnsail.platform import main

if __name__ == "__main__":
    main()
