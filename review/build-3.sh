#!/bin/sh
# The stand-ins of the third review are one file on Python's standard library: it only
# has to be there and to compile. The hosts are built by the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile lab_3.py
