# Licensed under the Apache License 2.0: see LICENSE for details.

"""Writes a deployment and a day on which most new connections come to one small VM.

``python -m lab.skew.site --site FILE --folder DIR`` derives them from a deployment
whose last machines are its small ones; DIR must stand outside the repository.  Play
them with ``fleetbench run DIR/skew.toml DIR/skew-day.toml --log VM``, where VM is the
only one of the first data hall.
"""

from __future__ import annotations

import shutil
import tomllib
from pathlib import Path
from typing import Any

import click
import tomli_w

# VMs of the other data halls, and requests a second of each hall's callers.
OTHERS = 8
FEW_PER_SECOND, USUAL_PER_SECOND = 30.0, 150.0
CLIENTS, OTHER_CLIENTS = 100, 60
# When the callers of the first hall come more often, and for how long.
AT_SECONDS, LASTS_SECONDS, LENGTH_SECONDS = 12.0, 10.0, 30.0


def one_small_vm(site: dict[str, Any]) -> None:
    """Leave one small VM in the first data hall, and some in each other one.

    :param site: the deployment; changed in place.
    """
    small = site["machines"][-1]
    halls = [hall["name"] for hall in site["zones"]]
    site["machines"] = [
        {**small, "zone": hall, "count": 1 if hall == halls[0] else OTHERS, "spare": 0}
        for hall in halls
    ]
    site["day"] = [day for day in site["day"] if day["name"].startswith("quiet")][:1]
    site["name"] = "skew"
    for traffic in site["traffic"]:
        first = traffic["zone"] == halls[0]
        traffic["per_s"] = FEW_PER_SECOND if first else USUAL_PER_SECOND
        traffic["clients"] = CLIENTS if first else OTHER_CLIENTS


def day(hall: str, factor: float) -> dict[str, Any]:
    """Return a day on which the callers of a data hall come more often for a while.

    :param hall: the data hall.
    :param factor: how much more often.
    """
    burst = {
        "at": AT_SECONDS,
        "kind": "burst",
        "zone": hall,
        "x": factor,
        "for_s": LASTS_SECONDS,
    }
    return {"name": "skew", "length_s": LENGTH_SECONDS, "faults": [burst]}


@click.command()
@click.option("--site", type=click.Path(path_type=Path), required=True)
@click.option("--folder", type=click.Path(path_type=Path), required=True)
@click.option("--factor", default=15.0, help="How much more often callers come.")
def main(site: Path, folder: Path, factor: float) -> None:
    """Write the deployment and the day."""
    derived = tomllib.loads(site.read_text(encoding="utf-8"))
    one_small_vm(derived)
    folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(site.parent / derived["wire"], folder)
    hall = derived["zones"][0]["name"]
    (folder / "skew.toml").write_text(tomli_w.dumps(derived), encoding="utf-8")
    day_text = tomli_w.dumps(day(hall, factor))
    (folder / "skew-day.toml").write_text(day_text, encoding="utf-8")


if __name__ == "__main__":
    main()
