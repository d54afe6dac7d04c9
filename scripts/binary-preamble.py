"""
Starts the unpacked program with a fresh interpreter in the same process.

The archive's own start-up leaves some 16 MB behind. ``exec`` replaces the process
image and keeps the process id, so no child is started. The archive's runtime defines
``site_packages``, the directory that it has unpacked to.
"""

import compileall
import os
import sys
from pathlib import Path

# -P keeps the working directory, and -s the user's packages, off the import path.
FLAGS = ("-P", "-s", "-m", "fuchsiaroute")

unpacked = Path(globals()["site_packages"])
compiled = unpacked / "compiled"
if not compiled.exists():
    # Compiling while serving would keep memory. One worker starts no other process.
    compileall.compile_dir(unpacked, quiet=2, workers=1)
    compiled.touch()
os.environ["PYTHONPATH"] = str(unpacked)
os.execv(sys.executable, [sys.executable, *FLAGS, *sys.argv[1:]])
