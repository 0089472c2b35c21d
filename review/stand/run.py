"""Runs a case. An error before it begins, as a missing module, is no broken rule: exit status 2."""

import os
import runpy
import sys
import traceback

try:
    runpy.run_path(sys.argv[1], run_name="__main__")
except BaseException:  # noqa: BLE001
    traceback.print_exc()
    sys.stderr.flush()
os._exit(2)
