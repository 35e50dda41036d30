"""Runs a node on the users' platform: names, formats and calls, and no decisions."""

from ._program import main

__all__ = ["main"]
