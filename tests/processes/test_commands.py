# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command line against a real fleet: output, exit codes, errors."""

from __future__ import annotations

import asyncio
import json
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import tomli_w
from click.testing import CliRunner

from standins.fleet import OPERATOR_TOKEN
from tests.fleetcase import FleetCase
from walnutquay.cmdline import main
from walnutquay.exceptions import SettingsError
from walnutquay.settings import Settings

COMMANDS = (
    [],
    ["entry"],
    ["check"],
    ["apply"],
    ["get"],
    ["status"],
    ["rollout"],
    ["rollout", "start"],
    ["rollout", "advance"],
    ["rollout", "pause"],
    ["rollout", "resume"],
    ["rollout", "withdraw"],
    ["hall"],
    ["hall", "empty"],
    ["hall", "fill"],
    ["policy"],
    ["policy", "test"],
    ["timeline"],
    ["trace"],
    ["trace", "record"],
    ["trace", "make"],
    ["replay"],
    ["report"],
    ["debug"],
)

GOOD_SETTINGS = {
    "vm": {"name": "vm-1", "hall": "hall-a"},
    "administration": {"token_hash": "sha256:" + "0" * 64},
    "fleet": {"keys": ["a-key-of-sixteen-characters"]},
    "platform": {"url": "http://127.0.0.1:1", "vm_list_url": "http://127.0.0.1:1/vms"},
}

# what differs from good settings -> what the error names
BAD_SETTINGS = [
    ({"callers": {"prot": 1}}, "callers.prot: unknown key; did you mean 'port'?"),
    ({"callers": {"port": 70000}}, "callers.port"),
    ({"calers": {}}, "calers: unknown key; did you mean 'callers'?"),
    ({"vm": {"name": "VM 1", "hall": "h"}}, "vm.name"),
    ({"vm": {"name": "vm-1"}}, "vm.hall"),
    ({"fleet": {"keys": ["short"]}}, "fleet.keys[0]"),
    ({"log": {"format": "xml"}}, "log.format"),
]


PROGRAM = """
def route(request, candidates):
    return [candidates[0]["name"]]
"""


class SettingsTest(unittest.TestCase):
    """Every option has a default or is asked for, and knows its origin."""

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.toml"

    def write(self, **changes) -> None:
        """Write good settings with some sections replaced."""
        self.path.write_text(tomli_w.dumps({**GOOD_SETTINGS, **changes}))

    def test_bad_ones_name_file_key_and_reason(self):
        for changes, named in BAD_SETTINGS:
            with self.subTest(named=named):
                self.write(**changes)
                with self.assertRaises(SettingsError) as caught:
                    Settings.load(self.path, {})
                self.assertIn(named, caught.exception.reason)
                self.assertIn(str(self.path), caught.exception.reason)

    def test_origins_and_hidden_secrets(self):
        self.write(callers={"port": 9})
        environment = {"WALNUTQUAY_PEERS__PORT": "7", "OTHER": "x"}
        settings = Settings.load(self.path, environment)
        self.assertEqual(settings.options.peers.port, 7)
        rows = {key: (value, origin) for key, value, origin in settings.rows()}
        self.assertEqual(rows["callers.port"], ("9", str(self.path)))
        self.assertEqual(rows["peers.port"], ("7", "$WALNUTQUAY_PEERS__PORT"))
        self.assertEqual(rows["log.level"][1], "default")
        self.assertNotIn("a-key-of", str(rows))

    def test_files_that_are_no_toml_or_not_there(self):
        self.path.write_text("[vm")
        with self.assertRaisesRegex(SettingsError, "is not TOML"):
            Settings.load(self.path, {})
        with self.assertRaisesRegex(SettingsError, "cannot be read"):
            Settings.load(self.path.with_name("none.toml"), {})


class HelpTest(unittest.TestCase):
    """Every command has help."""

    def test_all(self):
        for command in COMMANDS:
            with self.subTest(command=command):
                result = CliRunner().invoke(main, [*command, "--help"])
                self.assertEqual(result.exit_code, 0)
                self.assertIn("Usage:", result.output)


class CommandsTest(FleetCase):
    """An operator's session."""

    engines = ("engine-1",)

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """:returns: exit code, output and errors of a command."""
        handle = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "walnutquay",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={
                "WALNUTQUAY_URL": self.vm("vm-a1").url("administration"),
                "WALNUTQUAY_TOKEN": OPERATOR_TOKEN,
            },
        )
        output, errors = await handle.communicate()
        return handle.returncode, output.decode(), errors.decode()

    def file(self, name: str, text: str) -> str:
        """:returns: the path of a file with a text."""
        path = Path(self.fleet.folder.name) / name
        path.write_text(text)
        return str(path)

    async def test_apply_get_status_and_conflict(self):
        pools = self.content()["pools"]
        pools[0]["queue_length"] = 7
        path = self.file("pools.toml", tomli_w.dumps({"pools": pools}))
        code, output, _ = await self.run_command("check", path)
        self.assertEqual(code, 0)
        code, output, _ = await self.run_command("apply", path, "--if-revision", "1")
        self.assertEqual((code, output), (0, "revision 2 is in force\n"))
        code, _, errors = await self.run_command("apply", path, "--if-revision", "1")
        self.assertEqual(code, 3)
        self.assertIn("revision 2 is in force, not 1", errors)
        code, output, _ = await self.run_command("get")
        self.assertIn("queue_length = 7", output)
        self.assertTrue(output.startswith("# revision 2"))
        code, output, _ = await self.run_command("status", "--json")
        self.assertEqual(json.loads(output)["revision"], 2)
        code, output, _ = await self.run_command("status")
        self.assertIn("vm-b1", output)

    async def test_a_bad_file_names_key_and_reason(self):
        path = self.file("bad.toml", '[[pools]]\nname = "p"\nwrok = "quick"\n')
        for command in ("check", "apply"):
            code, _, errors = await self.run_command(command, path)
            self.assertEqual(code, 1)
            self.assertIn(f"{path}: pools[0].wrok", errors)
            self.assertIn("did you mean 'work'?", errors)

    async def test_a_roll_out(self):
        start = ("--model", "small", "--old", "small-1", "--new", "small-2")
        for arguments, code in (
            (("start", "r", *start, "--stages", "0.5,1.0"), 0),
            (("start", "r", *start), 1),
            (("pause", "r"), 0),
            (("pause", "r"), 1),
            (("advance", "r"), 1),
            (("resume", "r"), 0),
            (("advance", "r"), 0),
            (("withdraw", "r"), 0),
            (("withdraw", "none"), 1),
        ):
            with self.subTest(arguments=arguments):
                found, _, errors = await self.run_command("rollout", *arguments)
                self.assertEqual(found, code, errors)
        _, output, _ = await self.run_command("get", "--json")
        content = json.loads(output)["content"]
        self.assertEqual(content["rollouts"][0]["state"], "withdrawn")
        states = {v["name"]: v.get("state") for v in content["versions"]}
        self.assertEqual(states["small-2"], "withdrawn")

    async def test_a_hall_that_is_emptied_and_used_again(self):
        code, output, _ = await self.run_command("hall", "empty", "hall-a")
        self.assertEqual((code, output), (0, "revision 2 is in force\n"))
        answer = await self.chat("vm-b1", model="small-1")
        self.assertEqual((answer.status, answer.ran), (503, "not_run"))
        _, output, _ = await self.run_command("status")
        self.assertIn("emptied: hall-a, 0 requests of this VM", output)
        code, _, errors = await self.run_command("hall", "empty", "hall-x")
        self.assertEqual(code, 1)
        self.assertIn("did you mean 'hall-a'?", errors)
        code, _, _ = await self.run_command("hall", "fill", "hall-a")
        self.assertEqual(code, 0)
        answer = await self.chat("vm-b1", model="small-1")
        self.assertEqual(answer.status, 200)

    async def test_timeline_debug_and_policy(self):
        answer = await self.chat("vm-b1", model="small-1")
        request = answer.headers["x-walnutquay-request"]
        _, output, _ = await self.run_command("timeline", "--request", request)
        kinds = [line.split()[2] for line in output.splitlines()]
        self.assertEqual(
            kinds, ["received", "planned", "dispatched", "billed", "answered"]
        )
        for subject in (
            "members",
            "endpoints",
            "queues",
            "claims",
            "bills",
            "timers",
            "configuration",
            "settings",
        ):
            code, output, errors = await self.run_command("debug", subject)
            self.assertEqual(code, 0, errors)
            self.assertNotIn("fleet-key", output)
        code, _, errors = await self.run_command("debug", "nothing")
        self.assertEqual(code, 1)
        program = (
            "def route(request, candidates):\n    return [candidates[0]['name']]\n"
        )
        self.file("p.star", program)
        path = self.file(
            "policy.toml", '[[policies]]\nname = "p"\nsource_file = "p.star"\n'
        )
        samples = self.file("samples.jsonl", '{"organisation": "first"}\n')
        test = ("policy", "test", "p", "--requests", samples)
        self.assertEqual((await self.run_command(*test))[0], 1)
        # A dry run needs no policy in force.
        dry = await self.run_command(*test, "--file", path)
        self.assertEqual(dry[:2], (0, "first/default/small: small-1\n"))
        code, _, errors = await self.run_command("apply", path)
        self.assertEqual(code, 0, errors)
        self.assertEqual((await self.run_command(*test))[:2], dry[:2])

    async def test_wrong_token_and_nobody_there(self):
        url = self.vm("vm-a1").url("administration")
        for arguments, named in (
            (("--url", url, "--token", "wrong"), "token is wanted"),
            (("--url", "http://127.0.0.1:1", "--token", "x"), "does not answer"),
        ):
            code, _, errors = await self.run_command("status", *arguments)
            self.assertEqual(code, 1)
            self.assertIn(named, errors)
