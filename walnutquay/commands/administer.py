# Licensed under the Apache License 2.0: see LICENSE for details.

"""The commands that operators drive the fleet with."""

from __future__ import annotations

import asyncio
import secrets
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import orjson
import tomli_w

from walnutquay.commands.client import Fleet, fleet_command
from walnutquay.commands.output import ExitCode, fail, json_option, show
from walnutquay.commands.tomlfile import read_configuration
from walnutquay.exceptions import ConfigurationError

OPERATION_BYTES = 8
POLL_SECONDS = 0.2
MICROSECONDS = 1_000_000


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--if-revision", type=int, help="Only if this revision is in force.")
@click.option("--operation", help="Your id of this change, to apply it again safely.")
@click.option("--wait/--no-wait", default=True, help="Wait until each VM has it.")
@click.option("--seconds", default=30.0, show_default=True, help="How long to wait.")
@json_option
@fleet_command
async def apply(
    fleet: Fleet,
    path: Path,
    if_revision: int | None,
    operation: str | None,
    wait: bool,
    seconds: float,
    as_json: bool,
) -> None:
    """Put the parts that a configuration file has in force.

    Parts that the file does not have stay as they are; `part = []` empties one.
    """
    try:
        content = read_configuration(path)
    except ConfigurationError as error:
        fail(error.reason)
    body = {
        "content": content,
        "file": str(path),
        "if_revision": if_revision,
        "operation": operation or secrets.token_hex(OPERATION_BYTES),
    }
    accepted = await fleet.call("PUT", "/v1/configuration", body)
    await report(fleet, accepted, wait, seconds, as_json)


async def report(
    fleet: Fleet, accepted: dict[str, Any], wait: bool, seconds: float, as_json: bool
) -> None:
    """Print what was accepted, and where it is in force.

    :param fleet: where the fleet is.
    :param accepted: what the administration API has answered.
    :param wait: whether to wait until each VM has it.
    :param seconds: how long at the most.
    :param as_json: whether to print JSON.
    """
    if not wait:
        show(accepted, as_json, lambda a: f"revision {a['revision']} is accepted")
        return
    behind = await _wait_everywhere(fleet, accepted["revision"], seconds)
    show(
        {**accepted, "behind": behind},
        as_json,
        lambda a: (
            f"revision {a['revision']} is "
            + (f"accepted; behind: {', '.join(behind)}" if behind else "in force")
        ),
    )
    if behind:
        raise SystemExit(ExitCode.NOT_EVERYWHERE)


async def _wait_everywhere(fleet: Fleet, revision: int, seconds: float) -> list[str]:
    """Wait until each live VM has a revision.

    :returns: the VMs that do not have it in time.
    """
    end = time.monotonic() + seconds
    while True:
        status = await fleet.call("GET", "/v1/status")
        behind = [
            member["vm"]
            for member in status["members"]
            if member["state"] != "silent" and member["revision"] < revision
        ]
        if status["revision"] < revision:
            behind.append(status["vm"])
        if not behind or time.monotonic() > end:
            return sorted(behind)
        await asyncio.sleep(POLL_SECONDS)


@click.command()
@json_option
@fleet_command
async def get(fleet: Fleet, as_json: bool) -> None:
    """Print the configuration in force, as TOML or JSON."""
    answer = await fleet.call("GET", "/v1/configuration")
    show(
        answer,
        as_json,
        lambda a: f"# revision {a['revision']}\n" + tomli_w.dumps(a["content"]),
    )


@click.command()
@json_option
@fleet_command
async def status(fleet: Fleet, as_json: bool) -> None:
    """Show how the fleet is, as one VM sees it."""
    show(await fleet.call("GET", "/v1/status"), as_json, _status_text)


def _status_text(value: dict[str, Any]) -> str:
    platform = "up" if value["platform_up"] else "DOWN"
    lines = [
        f"{value['vm']} in {value['hall']}: revision {value['revision']}, "
        f"confirmed {value['confirmed']} s ago, platform {platform}, "
        f"{value['in_flight']} in flight" + ("" if value["ready"] else ", NOT READY")
    ]
    for member in value["members"]:
        lines.append(
            f"  {member['vm']:<12} {member['hall']:<10} {member['state']:<8} "
            f"revision {member['revision']}, heard {member['heard']} s ago"
        )
    for rollout in value["rollouts"]:
        lines.extend(_rollout_lines(rollout))
    lines.extend(
        f"  emptied: {hall}, {running} requests of this VM still run there"
        for hall, running in value["emptied"].items()
    )
    lines.extend(f"  braked: {name}" for name in value["braked"])
    lines.extend(f"  policy {n}: {why}" for n, why in value["failed_policies"].items())
    metrics = value["metrics"]
    for name, row in metrics["seconds"].items():
        lines.append(
            f"  {name:<24} {row['count']:>8} times  p50 {row['p50'] * 1000:.2f} ms  "
            f"p99 {row['p99'] * 1000:.2f} ms"
        )
    lines.extend(f"  {n:<32} {c:>8}" for n, c in metrics["counters"].items())
    return "\n".join(lines)


def _rollout_lines(rollout: dict[str, Any]) -> list[str]:
    """Show a roll-out: where it stands, since when, and what its tests say."""
    share = rollout["stages"][rollout["stage"]]
    stands = "" if rollout["unchanged_for"] is None else f"{rollout['unchanged_for']} s"
    lines = [
        f"  roll-out {rollout['name']}: {rollout['old']} -> {rollout['new']}, "
        f"{rollout['state']}, stage {rollout['stage']} ({share:.0%}), "
        f"loaded by {len(rollout['loaded'])} of {len(rollout['wanted'])}"
        + (f", as it is for {stands}" if stands else "")
    ]
    for measure, test in rollout["tests"].items():
        lines.append(
            f"    {measure}: {test['bad']} of {test['good'] + test['bad']}, the old "
            f"version {test['old_bad']} of {test['old_good'] + test['old_bad']}: "
            f"{test['verdict']}"
        )
    return lines


@click.group()
def rollout() -> None:
    """Start, advance, pause, resume or withdraw a roll-out."""


async def _act(
    fleet: Fleet, name: str, action: str, body: dict[str, Any], as_json: bool
) -> None:
    body["operation"] = secrets.token_hex(OPERATION_BYTES)
    accepted = await fleet.call("POST", f"/v1/rollouts/{name}/{action}", body)
    await report(fleet, accepted, wait=True, seconds=30.0, as_json=as_json)


@rollout.command()
@click.argument("name")
@click.option("--model", required=True, help="The model that is rolled out.")
@click.option("--old", required=True, help="The version that serves now.")
@click.option("--new", required=True, help="The version that is to take over.")
@click.option(
    "--stages",
    default="0.05,0.25,1.0",
    show_default=True,
    help="Shares of new sessions, in order.",
)
@click.option(
    "--automatic", is_flag=True, help="Go on by itself once the tests say good."
)
@json_option
@fleet_command
async def start(
    fleet: Fleet,
    name: str,
    model: str,
    old: str,
    new: str,
    stages: str,
    automatic: bool,
    as_json: bool,
) -> None:
    """Begin to give new sessions of a model to a new version."""
    try:
        shares = [float(text) for text in stages.split(",")]
    except ValueError:
        fail(f"--stages: {stages!r} is not a list of numbers")
    body = {
        "model": model,
        "old": old,
        "new": new,
        "stages": shares,
        "automatic": automatic,
    }
    await _act(fleet, name, "start", body, as_json)


def _simple_action(action: str, text: str) -> None:
    """Add the command of an action that takes nothing but the name."""

    @rollout.command(action, help=text)
    @click.argument("name")
    @json_option
    @fleet_command
    async def act(fleet: Fleet, name: str, as_json: bool) -> None:
        await _act(fleet, name, action, {}, as_json)


_simple_action("advance", "Go on to the next stage, or end the roll-out.")
_simple_action("pause", "Hold the roll-out at its present stage.")
_simple_action("resume", "Go on with a roll-out that was paused.")
_simple_action("withdraw", "Take the new version back: it gets nothing new at all.")


@click.group()
def policy() -> None:
    """Work with policy programs."""


@policy.command("test")
@click.argument("name")
@click.option(
    "--requests",
    "path",
    type=click.Path(path_type=Path, exists=True),
    required=True,
    help="Sample requests: JSON lines with organisation, class, asked, size, stream.",
)
@click.option(
    "--file",
    "source_path",
    type=click.Path(path_type=Path),
    help="Take the policy from this configuration file, not from what is in force.",
)
@json_option
@fleet_command
async def policy_test(
    fleet: Fleet, name: str, path: Path, source_path: Path | None, as_json: bool
) -> None:
    """Run a policy on sample requests and the versions in force.

    Nothing is changed.
    """
    body = {"policy": name, "requests": _samples(path)}
    if source_path is not None:
        body["source"] = _program(source_path, name)
    answer = await fleet.call("POST", "/v1/policies/test", body)
    show(answer, as_json, _policy_text)
    if answer["failed"]:
        raise SystemExit(ExitCode.NOT_DONE)


def _program(path: Path, name: str) -> str:
    """Find a policy's program in a configuration file."""
    try:
        policies = read_configuration(path).get("policies", [])
    except ConfigurationError as error:
        fail(error.reason)
    sources = [entry["source"] for entry in policies if entry.get("name") == name]
    if not sources:
        fail(f"{path}: policies: none is called {name!r}")
    return sources[0]


def _samples(path: Path) -> list[Any]:
    try:
        return [orjson.loads(line) for line in path.read_bytes().splitlines()]
    except orjson.JSONDecodeError as error:
        fail(f"{path}: is not JSON lines: {error}")


def _policy_text(value: dict[str, Any]) -> str:
    lines = [
        f"{item['request']['organisation']}/{item['request']['class']}"
        f"/{item['request']['size']}: {' > '.join(item['order']) or '(none)'}"
        for item in value["answers"]
    ]
    lines.extend(f"failed: {name}: {why}" for name, why in value["failed"].items())
    return "\n".join(lines)


@click.command()
@click.option("--request", default="", help="Only events of this request.")
@click.option("--session", default="", help="Only events of this session.")
@json_option
@fleet_command
async def timeline(fleet: Fleet, request: str, session: str, as_json: bool) -> None:
    """Merge the events of all VMs into one time line."""
    query = f"/v1/timeline?request={request}&session={session}"
    urls = await fleet.members()
    answers = await asyncio.gather(*(fleet.reach(url, query) for url in urls))
    events = [event for answer in answers if answer for event in answer]
    events.sort(key=lambda event: event["at"])
    missing = [url for url, answer in zip(urls, answers, strict=True) if answer is None]
    for url in missing:
        click.echo(f"warning: {url} does not answer; its events are missing", err=True)
    show(events, as_json, timeline_text)


def timeline_text(events: list[dict[str, Any]]) -> str:
    """:param events: events in order.

    :returns: them for people, a line each.
    """
    lines = []
    for event in events:
        moment = datetime.fromtimestamp(event["at"][0] / MICROSECONDS, UTC)
        rest = "  ".join(
            event[key]
            for key in ("request", "session", "version", "endpoint", "detail")
            if event[key]
        )
        lines.append(
            f"{moment:%H:%M:%S.%f}  {event['vm']:<10} {event['kind']:<16} {rest}"
        )
    return "\n".join(lines)


@click.command()
@click.argument("subject")
@fleet_command
async def debug(fleet: Fleet, subject: str) -> None:
    """Print what a VM believes.

    SUBJECT is members, endpoints, queues, claims, bills, leases, timers,
    configuration, settings or worths (what cascades have learnt).
    """
    answer = await fleet.call("GET", f"/v1/debug/{subject}")
    show(answer, True, str)
