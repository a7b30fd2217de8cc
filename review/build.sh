#!/usr/bin/env bash
# The stand-ins are Python programs that need nothing but its standard library: there is nothing to build but their bytecode.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "there is no python3"; exit 1; }
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile standins/standins.py [0-9]*/case.py
