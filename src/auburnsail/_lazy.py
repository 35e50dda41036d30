"""Deferred import of large modules that a node does not use.

structlog imports asyncio for its asynchronous methods, http.client imports ssl for HTTPS, and the
package of the response parser imports a complete client. Together they take 9 MB of a node's 32 MB.
importlib.util.LazyLoader does not help: its modules load as soon as a second module imports them.
"""

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from importlib.util import module_from_spec

__all__ = ["defer_import", "skip_package_code"]


def defer_import(name: str) -> None:
    """Defers loading of a module from its import to the first access of an attribute.

    Does nothing if the module is loaded already or does not exist.

    Args:
        name: Name of a top-level module whose importers use it inside functions only.
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
        name: Name of a package of which only submodules are used.

    Returns:
        The empty package module, or None if the package is loaded already or does not exist.
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
