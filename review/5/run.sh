#!/bin/sh
# A ping that arrives late, after its server has left. TROUBLE=0: the same ping arrives in time.
cd "$(dirname "$0")" || exit 2
exec python3 ../stand/run.py case.py
