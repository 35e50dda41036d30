#!/bin/sh
# The stand-ins of the cases are Python programs that need only the standard library: this checks
# that they compile. Run it after the build of the deploy file, from any folder.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("ok", path)
if not pathlib.Path("../target/deps").is_dir():
    sys.exit("target/deps is missing: run the build of the deploy file first")
END
