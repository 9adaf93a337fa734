#!/usr/bin/env bash
# Check the stand-ins of the cases; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
