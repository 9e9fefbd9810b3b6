# Licensed under the Apache License 2.0: see LICENSE for details.

"""The demo's configuration, after the sizes of today of both users."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from walnutquay.daemon.authentication import key_hash

HALLS = ("hall-a", "hall-b")
POLICY_FILE = Path(__file__).with_name("policies.star")

# A version's price is fixed here, its quality and speed at the stand-in.
VERSIONS = {
    "swift-1": {"model": "swift", "price_input": 0.1, "price_output": 0.4},
    "swift-2": {"model": "swift", "price_input": 0.1, "price_output": 0.4},
    "sage-1": {"model": "sage", "price_input": 1.0, "price_output": 4.0},
}
QUALITY = {"swift-1": 0.7, "swift-2": 0.75, "sage-1": 0.97}

ORGANISATIONS = {
    "panelwerk-nord": {"cascades": ["recap"], "services": ["library"], "weight": 3},
    "panelwerk-alpen": {"cascades": ["recap"], "services": ["library"]},
    "desk-north": {"cascades": ["quote"], "services": ["tariff"], "weight": 3},
    "desk-harbour": {"cascades": ["quote"], "services": ["tariff"]},
}


def key_of(organisation: str) -> str:
    """:param organisation: its name.

    :returns: the key of its callers in the demo.
    """
    return f"demo-key-{organisation}"


def configuration(
    engines: dict[str, str], services: dict[str, tuple[str, str]]
) -> dict[str, Any]:
    """Write the configuration.

    :param engines: address of each engine by name.
    :param services: service and address of each service endpoint by name.
    """
    return {
        "organisations": [
            {
                "name": name,
                "keys": [key_hash(key_of(name))],
                "versions": list(VERSIONS),
                "policy": "cheap-first",
                **fields,
            }
            for name, fields in ORGANISATIONS.items()
        ],
        "versions": [{"name": name, **fields} for name, fields in VERSIONS.items()],
        "cascades": [
            {"name": "recap", "steps": ["swift", "sage"], "quality": 0.6},
            {"name": "quote", "steps": ["swift", "sage"], "quality": 0.6},
        ],
        "rollouts": [
            {
                "name": "swift-second",
                "model": "swift",
                "old": "swift-1",
                "new": "swift-2",
                "stages": [0.25, 1.0],
            }
        ],
        "policies": [
            {"name": "cheap-first", "source": POLICY_FILE.read_text(encoding="utf-8")}
        ],
        "pools": [
            {"name": "models", "work": "patient"},
            {"name": "apps", "work": "quick", "queue_seconds": 1.0},
        ],
        "endpoints": [
            *_engines(engines),
            *_services(services),
        ],
        "services": [
            {"name": "library", "pool": "apps", "price_call": 0.001},
            {"name": "tariff", "pool": "apps", "price_call": 0.002},
        ],
    }


def _engines(engines: dict[str, str]) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "pool": "models",
            "hall": HALLS[index % len(HALLS)],
            "address": address,
            "versions": list(VERSIONS),
            "slots": 8,
            "checks_fences": True,
        }
        for index, (name, address) in enumerate(engines.items())
    ]


def _services(services: dict[str, tuple[str, str]]) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "pool": "apps",
            "hall": HALLS[index % len(HALLS)],
            "address": address,
            "service": service,
            "slots": 16,
        }
        for index, (name, (service, address)) in enumerate(services.items())
    ]
