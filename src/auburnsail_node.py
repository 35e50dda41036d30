"""Entry point of the auburnsail-node program, outside the package, whose imports take a while."""

import signal

__all__ = ["main"]


def main() -> None:
    """Runs the program `auburnsail._cli_node`."""
    # A SIGHUP that comes before the node handles it would end the process. The node reads its
    # settings later, so nothing is lost.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from auburnsail._cli_node import main as run

    run()
