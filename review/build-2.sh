#!/bin/sh
# Builds the stand-ins of the cases 4 to 7: compiles them, and checks that they can be loaded
# with the libraries that the deploy file's build has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review" python3 - <<'EOF'
import compileall
import glob
import sys

files = ["review/common_2.py", "review/worker_2.py", *glob.glob("review/[4-7]/*.py")]
built = [compileall.compile_file(name, quiet=1) for name in files]
built.append(compileall.compile_dir("dunlinnotch/standins/users", quiet=1))
if not all(built):
    sys.exit("a stand-in can't be compiled")
import common_2  # noqa: F401
import worker_2  # noqa: F401
EOF
