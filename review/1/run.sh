#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "there is no python3"; exit 2; }
exec python3 case.py
