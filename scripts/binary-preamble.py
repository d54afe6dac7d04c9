"""
Starts the unpacked program with a new interpreter in the same process.

The archive's start-up code leaves about 16 MB of memory in use. ``exec`` replaces the
process image, which frees it; the process id stays and no child process is started.
shiv defines ``site_packages``, the directory to which the archive has been unpacked.
"""

import compileall
import os
import sys
from pathlib import Path

# -P and -s keep the working directory and the user site-packages off sys.path.
FLAGS = ("-P", "-s", "-m", "fuchsiaroute")

unpacked = Path(globals()["site_packages"])
compiled = unpacked / "compiled"
if not compiled.exists():
    # Compiling in the serving process would increase its memory. With one worker,
    # compileall starts no other process.
    compileall.compile_dir(unpacked, quiet=2, workers=1)
    compiled.touch()
os.environ["PYTHONPATH"] = str(unpacked)
os.execv(sys.executable, [sys.executable, *FLAGS, *sys.argv[1:]])
