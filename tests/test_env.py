# Licensed under the Apache License 2.0: see LICENSE for details.

"""What a process does before anything large is imported."""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

# Stops at the first import that takes long, and gets the signal there.
PROGRAM = """
import os, signal, sys
# What the tests were started by may have had it ignored already.
signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.argv = ["walnutquay", *sys.argv[1:]]
sys.modules["click"] = None
try:
    import walnutquay.cmdline
except ImportError:
    os.kill(os.getpid(), signal.SIGHUP)
    print("lives")
"""


class HangupTest(unittest.TestCase):
    """SIGHUP does not end a daemon that has just started.

    Guards against VMs that ended when their settings changed in their first second.
    """

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-c", PROGRAM, *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def test_daemons_live(self) -> None:
        for command in ("gateway", "entry"):
            with self.subTest(command=command):
                ended = self.run_command(command, "--settings", "x")
                self.assertEqual((ended.returncode, ended.stdout), (0, "lives\n"))

    def test_other_commands_end(self) -> None:
        for arguments in ((), ("fleet",)):
            with self.subTest(arguments=arguments):
                ended = self.run_command(*arguments)
                self.assertEqual(ended.returncode, -signal.SIGHUP)


if __name__ == "__main__":
    unittest.main()
