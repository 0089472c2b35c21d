#!/bin/sh
# A change of the config that splits a route over nine services. TROUBLE=0: over eight of them.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
