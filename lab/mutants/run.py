# Licensed under the Apache License 2.0: see LICENSE for details.

"""Shows that each guarantee's proof fails where its mechanism is taken out.

``python -m lab.mutants.run [NAME ...]`` copies the tree, takes one mechanism out
at a time, and runs the tests that prove it; each must fail.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from lab.mutants import (
    announcements,
    callers,
    connections,
    crashes,
    limits,
    links,
    overload,
    own,
    restores,
    routed,
    skew,
    unserved,
)
from lab.mutants.mutation import Mutation

ROOT = Path(__file__).parents[2]
COPIED = ("walnutquay", "standins", "tests", "demo", "lab")

# Each is known by its place here, or by what it serves.
MUTATIONS = [
    *own.MUTATIONS,
    *routed.MUTATIONS,
    *limits.MUTATIONS,
    *links.MUTATIONS,
    *restores.MUTATIONS,
    *announcements.MUTATIONS,
    *connections.MUTATIONS,
    *crashes.MUTATIONS,
    *callers.MUTATIONS,
    *overload.MUTATIONS,
    *skew.MUTATIONS,
    *unserved.MUTATIONS,
]


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


def is_wanted(number: int, mutation: Mutation, names: Sequence[str]) -> bool:
    """:param number: a mutation's place in the list.

    :param mutation: the mutation.
    :param names: numbers, or beginnings of what mutations serve; all if there are none.
    """
    return not names or any(
        name == str(number) or mutation.guarantee.startswith(name) for name in names
    )


def main() -> int:
    """:returns: the exit code: 0 if every test failed as it must."""
    names = sys.argv[1:]
    wanted = [n for n, one in enumerate(MUTATIONS) if is_wanted(n, one, names)]
    if not wanted:
        sys.exit(f"no mutation has such a number or name: {' '.join(names)}")
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
