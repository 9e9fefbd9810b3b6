# Licensed under the Apache License 2.0: see LICENSE for details.

"""The command that shows a fleet's state from its metrics addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field

import aiohttp
import click
from prometheus_client.parser import text_string_to_metric_families

from walnutquay.commands.output import fail, json_option, show
from walnutquay.commands.slotstate import (
    SlotGrants,
    SlotWaiting,
    organisation_label,
    slot_grants,
    slot_waiting,
    slots_denied,
    slots_text,
)

# A VM answers within some milliseconds; one that has not by now is not reached.
TIMEOUT_SECONDS = 2.0
PREFIX = "walnutquay_"
# What the counters of outcomes begin with.
REFUSED = ("refused_", "denied_")
UNKNOWN = ("unknown_", "broken")
# A longer backoff is hardly what the endpoint means.
LONG_BACKOFF_SECONDS = 300.0
OLD_SECONDS = 15.0
# The states of endpoints that are sent requests.
USABLE = ("ready", "cold", "limited", "brittle", "forwarded")


@dataclass(frozen=True, slots=True)
class Waiting:
    """Requests of one organisation on one route that have no outcome yet.

    :param organisation: whose they are.
    :param route: the route.
    :param count: how many there are.
    :param oldest: seconds since the oldest one came.
    """

    organisation: str
    route: str
    count: int
    oldest: float


@dataclass(frozen=True, slots=True)
class VmState:
    """What one VM's figures say.

    :param address: its metrics address.
    :param reached: whether it answered.
    :param ready: whether it knows enough to serve.
    :param configuration: the version in force.
    :param era: the store's era, as far as it knows.
    :param age: seconds since the store confirmed what is known, of the oldest kind.
    :param vms: VMs that it knows, itself among them.
    :param in_flight: requests without an outcome.
    :param answered: requests answered since its start.
    :param refused: requests refused or denied.
    :param unknown: requests lost.
    :param p99_seconds: the 99th percentile from arrival to outcome.
    :param endpoints: endpoints by service and state, such as ``pool/ready``.
    :param waiting: its requests without an outcome, by whose they are.
    :param blocked: requests that are held to end endpoints.
    :param blocked_parts: parts of prompts that are.
    :param unreadable: objects of the store that cannot be read.
    :param emptied: what it still has running in each data hall that is emptied.
    :param limits: the rate limit of each endpoint that has one; requests a second.
    :param limits_used: requests a second that it sends each of these endpoints.
    :param backoffs: for how many seconds endpoints want no requests from it.
    :param slot_waiting: its requests that wait for scarce slots.
    :param slot_grants: the scarce slots that it shares out.
    :param slots_denied: its requests that got no slot, by reason.
    """

    address: str
    reached: bool = True
    ready: bool = False
    configuration: int = 0
    era: int = 0
    age: float = 0.0
    vms: int = 0
    in_flight: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    p99_seconds: float = 0.0
    endpoints: dict[str, int] = field(default_factory=dict)
    waiting: tuple[Waiting, ...] = ()
    blocked: int = 0
    blocked_parts: int = 0
    unreadable: int = 0
    emptied: dict[str, int] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)
    limits_used: dict[str, float] = field(default_factory=dict)
    backoffs: dict[str, float] = field(default_factory=dict)
    slot_waiting: tuple[SlotWaiting, ...] = ()
    slot_grants: tuple[SlotGrants, ...] = ()
    slots_denied: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of the text exposition format.

    :param name: its name without the program's.
    :param labels: its labels.
    :param value: its value.
    """

    name: str
    labels: dict[str, str]
    value: float


def read_figures(text: str) -> list[Figure]:
    """:param text: what a metrics address answers.

    :raises ValueError: if it is not in the text exposition format.
    """
    return [
        Figure(sample.name.removeprefix(PREFIX), sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


def state_of(address: str, figures: Iterable[Figure]) -> VmState:
    """:param address: where the figures come from.

    :param figures: all figures of a VM.
    """
    figures = list(figures)
    plain = {one.name: one.value for one in figures if not one.labels}
    ages = [one.value for one in figures if one.name == "knowledge_age_seconds"]
    slowest = [
        one.value
        for one in figures
        if one.name == "request_seconds" and one.labels.get("quantile") == "0.99"
    ]
    endpoints = {
        f"{one.labels['service']}/{one.labels['state']}": int(one.value)
        for one in figures
        if one.name == "endpoints"
    }
    return VmState(
        address=address,
        ready=plain.get("ready", 0.0) == 1.0,
        configuration=int(plain.get("configuration_version", 0)),
        era=int(plain.get("era", 0)),
        age=max(ages, default=0.0),
        vms=int(plain.get("entry_vms", 0)),
        in_flight=int(plain.get("requests_in_flight", 0)),
        answered=int(plain.get("answered_total", 0)),
        refused=_sum(plain, REFUSED),
        unknown=_sum(plain, UNKNOWN),
        p99_seconds=max(slowest, default=0.0),
        endpoints=endpoints,
        waiting=tuple(_waiting_of(figures)),
        blocked=_total(figures, "requests_blocked"),
        blocked_parts=_total(figures, "parts_blocked"),
        unreadable=_total(figures, "unreadable"),
        emptied={
            one.labels["hall"]: int(one.value)
            for one in figures
            if one.name == "emptied_hall_running"
        },
        limits=_by_endpoint(figures, "rate_limit"),
        limits_used=_by_endpoint(figures, "rate_limit_used"),
        backoffs=_by_endpoint(figures, "backoff_seconds"),
        slot_waiting=slot_waiting(figures),
        slot_grants=slot_grants(figures),
        slots_denied=slots_denied(figures),
    )


def _by_endpoint(figures: Iterable[Figure], name: str) -> dict[str, float]:
    return {one.labels["endpoint"]: one.value for one in figures if one.name == name}


def _total(figures: Iterable[Figure], name: str) -> int:
    return int(sum(one.value for one in figures if one.name == name))


def _waiting_of(figures: Iterable[Figure]) -> Iterator[Waiting]:
    """Put the figures of waiting requests together."""
    counts: dict[tuple[str, str], float] = {}
    oldest: dict[tuple[str, str], float] = {}
    for one in figures:
        key = (one.labels.get("organisation", ""), one.labels.get("route", ""))
        if one.name == "requests_waiting":
            counts[key] = one.value
        elif one.name == "oldest_request_seconds":
            oldest[key] = one.value
    for key, count in counts.items():
        yield Waiting(*key, int(count), oldest.get(key, 0.0))


def all_waiting(states: Iterable[VmState]) -> list[Waiting]:
    """:param states: the states of all VMs.

    :returns: what waits in the whole fleet, the oldest first.
    """
    found: dict[tuple[str, str], Waiting] = {}
    for state in states:
        for row in state.waiting:
            key = (row.organisation, row.route)
            known = found.get(key, Waiting(*key, 0, 0.0))
            oldest = max(known.oldest, row.oldest)
            found[key] = Waiting(*key, known.count + row.count, oldest)
    return sorted(found.values(), key=lambda row: -row.oldest)


def _sum(plain: dict[str, float], beginnings: tuple[str, ...]) -> int:
    return int(sum(v for name, v in plain.items() if name.startswith(beginnings)))


def concerns(states: Iterable[VmState]) -> list[str]:
    """:param states: the states of all VMs.

    :returns: what an operator should look at, in words.
    """
    states = list(states)
    found = [f"{one.address} does not answer" for one in states if not one.reached]
    up = [one for one in states if one.reached]
    found += [f"{one.address} is not ready" for one in up if not one.ready]
    versions = sorted({one.configuration for one in up})
    if len(versions) > 1:
        found.append(f"configurations differ: {versions}")
    eras = sorted({one.era for one in up})
    if len(eras) > 1:
        found.append(f"VMs know different eras of the store: {eras}")
    blocked = max((one.blocked for one in up), default=0)
    if blocked:
        found.append(f"{blocked} requests end the endpoints that run them")
    parts = max((one.blocked_parts for one in up), default=0)
    if parts:
        found.append(f"{parts} parts of prompts end the endpoints that answer them")
    unreadable = max((one.unreadable for one in up), default=0)
    if unreadable:
        found.append(f"{unreadable} objects of the store cannot be read")
    for one in up:
        if one.age > OLD_SECONDS:
            found.append(f"{one.address} last heard of the store {one.age:.0f} s ago")
        found += [
            f"{endpoint} wants no requests of {one.address} for {seconds:.0f} s"
            for endpoint, seconds in sorted(one.backoffs.items())
            if seconds > LONG_BACKOFF_SECONDS
        ]
        forwarded = sum(
            count
            for name, count in one.endpoints.items()
            if name.endswith("/forwarded")
        )
        if forwarded:
            found.append(f"{one.address} reaches {forwarded} endpoints by others only")
        services = {name.partition("/")[0] for name in one.endpoints}
        for service in sorted(services):
            usable = [f"{service}/{state}" for state in USABLE]
            if not any(one.endpoints.get(state) for state in usable):
                found.append(f"{one.address} has no ready endpoint of {service}")
    return found


def states_text(states: Iterable[VmState]) -> str:
    """:param states: the states of all VMs.

    :returns: them for people, a line each, and what to look at.
    """
    states = list(states)
    text = [
        f"{'address':<22}{'ready':>6}{'config':>8}{'era':>5}{'age s':>7}{'VMs':>5}"
        f"{'now':>6}{'answered':>10}{'refused':>9}{'lost':>7}{'p99 ms':>8}  endpoints"
    ]
    for one in states:
        if not one.reached:
            text.append(f"{one.address:<22}  does not answer")
            continue
        endpoints = " ".join(f"{k}={v}" for k, v in sorted(one.endpoints.items()))
        text.append(
            f"{one.address:<22}{'yes' if one.ready else 'no':>6}"
            f"{one.configuration:>8}{one.era:>5}{one.age:>7.1f}{one.vms:>5}"
            f"{one.in_flight:>6}"
            f"{one.answered:>10}{one.refused:>9}{one.unknown:>7}"
            f"{one.p99_seconds * 1000:>8.0f}  {endpoints}"
        )
    text += _emptied_text(states)
    text += _limits_text(states)
    text += _backoffs_text(states)
    text += slots_text(states)
    waiting = all_waiting(states)
    if waiting:
        text.append("waiting:")
    text += [
        f"    {organisation_label(row.organisation):<20}{row.route:<24}{row.count:>6}"
        f"  oldest {row.oldest:.1f} s"
        for row in waiting
    ]
    text += [f"look at: {words}" for words in concerns(states)]
    return "\n".join(text)


def _emptied_text(states: list[VmState]) -> list[str]:
    """Tell which data halls are emptied, what still runs there, and who knows."""
    up = [one for one in states if one.reached]
    lines = []
    for hall in sorted({hall for one in up for hall in one.emptied}):
        know = [one for one in up if hall in one.emptied]
        running = sum(one.emptied[hall] for one in know)
        lines.append(
            f"emptied: {hall}, known to {len(know)} of {len(up)} VMs, "
            f"{running} requests still run there"
        )
    return lines


def _limits_text(states: list[VmState]) -> list[str]:
    """Tell which endpoints are limited, how much is used, and who knows."""
    up = [one for one in states if one.reached]
    lines = []
    for endpoint in sorted({name for one in up for name in one.limits}):
        limits = [one.limits[endpoint] for one in up if endpoint in one.limits]
        used = sum(one.limits_used.get(endpoint, 0.0) for one in up)
        lines.append(
            f"limited: {endpoint} to {min(limits):g} requests a second, "
            f"{used:.1f} used, known to {len(limits)} of {len(up)} VMs"
        )
    return lines


def _backoffs_text(states: list[VmState]) -> list[str]:
    """Tell which endpoints want no requests, of how many VMs and for how long."""
    up = [one for one in states if one.reached]
    lines = []
    for endpoint in sorted({name for one in up for name in one.backoffs}):
        left = [one.backoffs[endpoint] for one in up if endpoint in one.backoffs]
        lines.append(
            f"backing off: {endpoint} wants no requests of {len(left)} of {len(up)} "
            f"VMs, for {max(left):.1f} s at most"
        )
    return lines


async def read_states(addresses: Iterable[str]) -> list[VmState]:
    """:param addresses: metrics addresses, ``IP:port``.

    :returns: the state of each, in order; one that does not answer is told as such.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        reads = [_read_state(session, address) for address in addresses]
        return list(await asyncio.gather(*reads))


async def _read_state(session: aiohttp.ClientSession, address: str) -> VmState:
    try:
        async with session.get(f"http://{address}/metrics") as answer:
            figures = read_figures(await answer.text())
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        reason = str(error) or type(error).__name__
        click.echo(f"warning: {address}: {reason}", err=True)
        return VmState(address, reached=False)
    return state_of(address, figures)


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@json_option
def fleet(addresses: tuple[str, ...], as_json: bool) -> None:
    """Show the state of entry VMs on the users' platform.

    ADDRESSES are the metrics addresses of all of them, IP:port.
    """
    states = asyncio.run(read_states(addresses))
    show([asdict(one) for one in states] if as_json else states, as_json, states_text)
    if not any(one.reached for one in states):
        fail("no VM answers")
