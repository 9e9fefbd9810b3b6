# Licensed under the Apache License 2.0: see LICENSE for details.

"""Shows that each guarantee's proof fails where its mechanism is taken out.

``python -m lab.mutations [NUMBER ...]`` copies the tree, takes one mechanism out
at a time, and runs the tests that prove it; each must fail.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from lab.mutants import callers, own, routed
from lab.mutants.mutation import Mutation

ROOT = Path(__file__).parent.parent
COPIED = ("walnutquay", "standins", "tests", "demo", "lab")

# Each is known by its place here.
MUTATIONS = [*own.MUTATIONS, *routed.MUTATIONS, *callers.MUTATIONS]


def is_there(mutation: Mutation) -> bool:
    """:param mutation: what to take out.

    :returns: whether its text stands in the sources, once.
    """
    text = (ROOT / "walnutquay" / mutation.file).read_text(encoding="utf-8")
    return text.count(mutation.old) == 1


def fails(mutation: Mutation) -> bool:
    """Run a mutation's test on a copy of the tree.

    :param mutation: what to take out.
    :returns: whether the test fails, as it must.
    """
    with tempfile.TemporaryDirectory(prefix="walnutquay-mutation-") as folder:
        for name in COPIED:
            shutil.copytree(ROOT / name, Path(folder) / name)
        path = Path(folder) / "walnutquay" / mutation.file
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.old) != 1:
            raise RuntimeError(f"{mutation.guarantee}: the text is not there once")
        path.write_text(text.replace(mutation.old, mutation.new), encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "tests", mutation.test],
            cwd=folder,
            env={"PYTHONPATH": folder, "PATH": "/usr/bin:/bin"},
            capture_output=True,
            check=False,
        )
    if b"_FailedTest" in done.stdout:
        # A test that is not there fails too, and proves nothing.
        raise RuntimeError(f"{mutation.guarantee}: there is no test {mutation.test}")
    return done.returncode != 0


def main() -> int:
    """:returns: the exit code: 0 if every test failed as it must."""
    wanted = [int(text) for text in sys.argv[1:]] or range(len(MUTATIONS))
    missed = 0
    for number in wanted:
        mutation = MUTATIONS[number]
        failed = fails(mutation)
        missed += not failed
        word = "fails as it must" if failed else "PASSES ALL THE SAME"
        print(f"{number:2} {mutation.guarantee}: {word}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
