# Licensed under the Apache License 2.0: see LICENSE for details.

"""Runs deployments that nobody has tuned for, derived from a given one.

``python -m lab.days.derived --bench PROGRAM --site FILE --folder DIR --seed N [...]``
writes each derived deployment below DIR, which must stand outside the repository and
outside /tmp, runs the days there, and prints what each was worth.
"""

from __future__ import annotations

import copy
import shutil
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import tomli_w

from lab.days.bench import Bench

Site = dict[str, Any]


def _engines(site: Site) -> list[dict[str, Any]]:
    return [item["llm"] for item in site["services"] if "llm" in item]


def good_middle(site: Site) -> None:
    """Make the middle model good and cheap.

    :param site: the deployment; changed in place, as by all of these.
    """
    site["models"][1] |= {"quality": 0.93, "pace": 0.8, "cost": 0.02}


def useless_smallest(site: Site) -> None:
    """Make the smallest model nearly useless."""
    site["models"][0]["quality"] = 0.12


def enough_smallest(site: Site) -> None:
    """Make the smallest model nearly always enough."""
    site["models"][0]["quality"] = 0.93


def slow_engines(site: Site) -> None:
    """Let engines read four times as slowly, with half of the traffic."""
    for engine in _engines(site):
        engine["prefill_tokens_per_ms"] /= 4.0
    _thin_traffic(site, 0.5)


def fast_engines(site: Site) -> None:
    """Let engines read and write four times as fast, with twice the traffic."""
    for engine in _engines(site):
        engine["prefill_tokens_per_ms"] *= 4.0
        engine["step_ms"] /= 4.0
    _thin_traffic(site, 2.0)


def short_aims(site: Site) -> None:
    """Halve the aims, the deadlines and the sizes of prompts."""
    for item in site["classes"]:
        if item["kind"] != "stream":
            continue
        for name in ("aim_ms", "deadline_ms", "timeout_ms"):
            item[name] = item[name] / 2
        stream = item["stream"]
        for part in (stream["prompt_tokens"], *(p["tokens"] for p in stream["chain"])):
            part["mean"] /= 2.0
            part["max"] /= 2.0


def _thin_traffic(site: Site, share: float) -> None:
    for zone in site["traffic"]:
        zone["per_s"] *= share


DERIVED: dict[str, Callable[[Site], None]] = {
    "good-middle": good_middle,
    "useless-smallest": useless_smallest,
    "enough-smallest": enough_smallest,
    "slow-engines": slow_engines,
    "fast-engines": fast_engines,
    "short-aims": short_aims,
}


def derive(site: Path, name: str, folder: Path) -> Path:
    """Write a derived deployment.

    :param site: the deployment to derive it from.
    :param name: which.
    :param folder: where to write it, with the files beside the site's.
    :returns: its file.
    """
    target = folder / name
    target.mkdir(parents=True, exist_ok=True)
    for file in site.parent.iterdir():
        if file.is_file() and file != site:
            shutil.copyfile(file, target / file.name)
    plain = copy.deepcopy(tomllib.loads(site.read_text(encoding="utf-8")))
    DERIVED[name](plain)
    path = target / site.name
    path.write_text(tomli_w.dumps(plain), encoding="utf-8")
    return path


@click.command()
@click.option("--bench", required=True, type=click.Path(path_type=Path))
@click.option("--site", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--folder", required=True, type=click.Path(path_type=Path))
@click.option("--repository", default=".", type=click.Path(path_type=Path))
@click.option("--only", multiple=True, type=click.Choice(sorted(DERIVED)))
@click.option("--day", "days", multiple=True, default=("quiet-1", "trouble-1"))
@click.option("--seed", "seeds", required=True, multiple=True, type=int)
@click.option("--jobs", default=3, help="Days at once.")
@click.option("--why", default="deployments that nobody has tuned for")
def main(bench, site, folder, repository, only, days, seeds, jobs, why) -> None:
    """Run derived deployments and print what their days were worth."""
    click.echo("| deployment | day | worth by seed | mean | broken |")
    click.echo("| --- | --- | --- | --- | --- |")
    for name in only or DERIVED:
        derived = derive(site, name, folder)
        with tempfile.TemporaryDirectory(prefix="walnutquay-derived-") as reports:
            told = f"{why}: {name}"
            setup = Bench(bench, repository.resolve(), derived, Path(reports), told)
            runs = setup.run_all(days, seeds, jobs)
        for day in days:
            own = [one.report for one in runs if one.day == day]
            worths = [report.worth for report in own]
            broken = sorted({rule for report in own for rule in report.broken})
            cells = [name, day, " ".join(f"{worth:.3f}" for worth in worths)]
            cells += [f"{sum(worths) / len(worths):.3f}", ", ".join(broken)]
            click.echo(f"| {' | '.join(cells)} |")


if __name__ == "__main__":
    main()
