"""Keeps large modules that a node does not use out of its memory.

structlog imports asyncio for its asynchronous methods, http.client imports ssl for HTTPS, and the
package of the response parser imports a whole client. Together they cost 9 MB of a node's 32 MB.
importlib.util.LazyLoader does not help: its modules load as soon as a second module imports them.
"""

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from importlib.util import module_from_spec

__all__ = ["defer_import", "skip_package_code"]


def defer_import(name: str) -> None:
    """Makes a module load at its first use instead of at its import.

    Args:
        name: A top-level module that importing modules use in functions only.
    """
    stub = skip_package_code(name)
    if stub is None:
        return

    def load(attribute: str) -> object:
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        if sys.modules.get(name) is stub:
            del sys.modules[name]
        return getattr(import_module(name), attribute)

    stub.__getattr__ = load


def skip_package_code(name: str):
    """Makes the submodules of a package importable without running the package's own code.

    Args:
        name: A package of which only submodules are used.

    Returns:
        The empty module, or None if the module is loaded already or does not exist.
    """
    spec = PathFinder.find_spec(name)
    if name in sys.modules or spec is None:
        return None
    module = module_from_spec(spec)
    sys.modules[name] = module
    return module


defer_import("asyncio")
defer_import("ssl")
skip_package_code("geventhttpclient")
