"""Adapter for the users' platform: its names, formats and calls, without routing decisions."""

from ._program import main

__all__ = ["main"]
