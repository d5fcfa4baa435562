"""Runs a command of this project with the hot modules of the fleet's emulator compiled to machine code.

    pip install -r requirements-compile.txt                                     (and a C compiler)
    python bench/compiled.py bench/fleet_state.py --watch 1000:halves
    python bench/compiled.py -m frostspindle lab fleet --nodes 300 --faults '0- loss 0.3'

The compiled copy is built by mypyc in build/compiled-DIGEST, once for each state of the sources. A copy is used only
if a short run under faults gives the same spends and the same number of bytes as the sources. Coordinators in service
run the sources, not a compiled copy, as they spend their time in other modules.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PACKAGES = ("frostspindle", "bench", "deploy")
# Left out: `lab/fleet.py`, as interpreted classes can't subclass compiled ones, and `wire.py`, whose classes msgspec
# inspects.
MODULES = tuple(
    f"frostspindle/{name}.py"
    for name in (
        "division",
        "fleet/budgets",
        "fleet/claims",
        "fleet/counter_sync",
        "fleet/counter_table",
        "fleet/counters",
        "fleet/engine_verdicts",
        "fleet/errors",
        "fleet/failure_detector",
        "fleet/gossip_buffer",
        "fleet/incarnation",
        "fleet/lender_selector",
        "fleet/member_table",
        "fleet/member_updates",
        "fleet/membership",
        "fleet/node",
        "fleet/quota_demand",
        "fleet/quota_escrow",
        "fleet/quota_flow",
        "fleet/quota_loans",
        "fleet/quota_pool",
        "fleet/suspicion",
        "lab/network",
        "lab/faults/script",
    )
)
SETUP = """
from mypyc.build import mypycify
from setuptools import setup
setup(name="compiled", ext_modules=mypycify({modules!r}))
"""
RUN = """
from frostspindle.fleet import node
from frostspindle.lab.faults.script import parse
from frostspindle.lab.fleet import Emulator, measure
emulator = Emulator(9, 3, parse("0- loss 0.2; 0- dup 0.1; 0- reorder 0.2; 5-12 cut 0-3|4-8; 8 kill 2; 9 start 2; "
                                "10 stop 4; 15 cont 4; clock 1 1.05", 9), 20.0, 180, demand=lambda n: 30.0)
emulator.run()
print(repr((emulator.spends, emulator.bytes, sorted(measure(emulator).items()))))
print(node.__file__)
"""


def digest() -> str:
    """Return a hash of the inputs of a compiled copy: sources, build settings of this module, interpreter version."""
    state = hashlib.sha256(repr((sys.version, MODULES, SETUP)).encode())
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            state.update(str(path.relative_to(ROOT)).encode() + b"\0" + path.read_bytes())
    return state.hexdigest()[:16]


def run(folder: Path) -> tuple[str, str]:
    """Run a short seeded emulation with the copy in `folder`; return its output and the path of its node module."""
    output = subprocess.run(
        [sys.executable, "-P", "-c", RUN],
        env=os.environ | {"PYTHONPATH": str(folder)},
        check=True,
        stdout=subprocess.PIPE,
        text=True,
    ).stdout.splitlines()
    return output[0], output[1]


def build(target: Path) -> None:
    """Build a compiled copy and move it to `target` if its output equals that of the sources.

    Exit with a message if mypyc compiled nothing or the output differs.
    """
    target.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as name:
        folder = Path(name) / "copy"
        for package in PACKAGES:
            shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
        (folder / "setup.py").write_text(SETUP.format(modules=list(MODULES)))
        subprocess.run(
            [sys.executable, "setup.py", "-q", "build_ext", "--inplace"], cwd=folder, check=True, stdout=sys.stderr
        )
        shutil.rmtree(folder / "build")
        (plain, _), (compiled, file) = run(ROOT), run(folder)
        if not file.endswith(".so"):
            sys.exit(f"mypyc compiled nothing: the node module is {file}")
        if plain != compiled:
            sys.exit("the output of the compiled copy differs from that of the sources; the copy was discarded")
        folder.rename(target)


def main() -> None:
    """Build the compiled copy if it does not exist, then replace this process by the command run with it."""
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    folder = ROOT / "build" / f"compiled-{digest()}"
    if not folder.exists():
        build(folder)
    command = sys.argv[1:]
    if not command[0].startswith("-"):
        command[0] = str(folder / command[0])
    os.execve(sys.executable, [sys.executable, "-P", *command], os.environ | {"PYTHONPATH": str(folder)})


if __name__ == "__main__":
    main()
