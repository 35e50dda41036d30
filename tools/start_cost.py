"""Measures the processor time of a node's imports, with and without byte-code files.

Each import runs in a forked child of a process that holds the byte-code in memory, so nothing is
written, and stale byte-code files, such as those of a copied environment, do not count. This module
imports no package, because a child would have it already.
"""

import argparse
import builtins
import gc
import importlib
import json
import marshal
import os
import statistics
import sys
import time
from collections.abc import Callable
from importlib._bootstrap_external import SourceLoader
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE = "auburnsail.platform"
SITE_PACKAGES = "site-packages"
MODES = ("none", "packages", "all")


def run_in_child(step: Callable[[], object]) -> object:
    """Returns the JSON-encodable result of a function that runs in a forked child."""
    reader, writer = os.pipe()
    if not (child := os.fork()):
        try:
            os.write(writer, json.dumps(step()).encode())
        finally:
            os._exit(0)
    os.close(writer)
    with os.fdopen(reader, "rb") as file:
        data = file.read()
    os.waitpid(child, 0)
    return json.loads(data)


def import_from(tree: Path) -> None:
    """Imports the node from the sources of a checkout."""
    sys.path.insert(0, str(tree / "src"))
    importlib.import_module(MODULE)


def compile_sources(tree: Path) -> dict[str, bytes]:
    """Returns the byte-code of the node's modules and of the packages by path."""

    def find_paths() -> list[str]:
        import_from(tree)
        files = [getattr(module, "__file__", None) or "" for module in sys.modules.values()]
        own = str(tree / "src")
        return [f for f in files if f.endswith(".py") and (SITE_PACKAGES in f or own in f)]

    return {
        path: marshal.dumps(builtins.compile(Path(path).read_bytes(), path, "exec"))
        for path in run_in_child(find_paths)
    }


def measure_ms(tree: Path, codes: dict[str, bytes], mode: str, collects: bool) -> float:
    """Returns the processor time of one import in milliseconds."""
    read_or_compile = SourceLoader.get_code

    def get_code(loader: SourceLoader, name: str):
        path = loader.get_filename(name)
        if path in codes and (mode == "all" or (mode == "packages" and SITE_PACKAGES in path)):
            return marshal.loads(codes[path])
        if path in codes:
            return loader.source_to_code(loader.get_data(path), path)
        return read_or_compile(loader, name)

    def step() -> float:
        SourceLoader.get_code = get_code
        if not collects:
            gc.disable()
        start_ns = time.process_time_ns()
        import_from(tree)
        return (time.process_time_ns() - start_ns) / 1e6

    return run_in_child(step)


def main() -> None:
    """Prints the processor time of a node's imports for this checkout or the given ones."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("trees", nargs="*", type=Path, help="Checkouts to compare, in turn.")
    parser.add_argument("--runs", default=7, type=int, help="Runs of each kind (7).")
    parser.add_argument("--no-collector", action="store_true", help="Disable the collector.")
    options = parser.parse_args()
    trees, runs, no_collector = options.trees, options.runs, options.no_collector
    checkouts = [tree.resolve() for tree in trees or (ROOT,)]
    codes = {tree: compile_sources(tree) for tree in checkouts}
    for mode in MODES:
        times_ms: dict[Path, list[float]] = {tree: [] for tree in checkouts}
        for _ in range(runs):
            for tree in checkouts:
                times_ms[tree].append(measure_ms(tree, codes[tree], mode, not no_collector))
        for tree, values in times_ms.items():
            print(
                f"imports with byte-code of {mode}, {tree.name}:"
                f" median {statistics.median(values):.0f} ms,"
                f" {min(values):.0f} to {max(values):.0f}"
            )


if __name__ == "__main__":
    main()
