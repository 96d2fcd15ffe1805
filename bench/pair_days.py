"""Writes days for the platform's bench in which every two troubles meet once.

``python -m bench.pair_days`` reads ``deploy/troubles.toml`` and writes
``deploy/days/pairs-*.toml`` and the table in ``docs/pair-days.md``. Pairs with a
trouble of grown deployments are in days of their own, since the others are played
on all deployments.
"""

import itertools
import random
import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[1]
TROUBLES = ROOT / "deploy" / "troubles.toml"
DAYS = ROOT / "deploy" / "days"
PAGE = ROOT / "docs" / "pair-days.md"

SEED = 1
GROUP = 3
"""Troubles that begin within ``SPREAD_S`` of each other."""

SPREAD_S = 1.0
CANDIDATES = 200
"""Groups that are drawn for each place; the one with the most new pairs is taken."""


class Moment(Enum):
    """What goes on when the troubles of a group begin."""

    START = "start of the traffic"
    CHANGE = "right after a change of the configuration"
    STOP = "during planned stops"
    PLAIN = "nothing else"


MOMENTS = (
    (0.2, Moment.START),
    (8.0, Moment.CHANGE),
    (16.0, Moment.STOP),
    (24.0, Moment.PLAIN),
    (32.0, Moment.CHANGE),
)
"""Times in seconds at which the groups of a day begin, far enough apart to recover."""

BEFORE_S = 0.15
"""Time in seconds from the change or the first stop to the group's troubles."""

CHANGE = {"kind": "config_change", "how": "route"}
STOPS = {"kind": "roll_term", "share": 0.4, "gap_s": 0.7}

Entry = dict[str, Any]


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """One kind of trouble.

    Attributes:
        name: Kind and variant.
        planned: Whether it is planned work.
        grown: Whether it may come on grown deployments only.
        entry: The entry of a day without its time.
    """

    name: str
    planned: bool
    grown: bool
    entry: Entry


@dataclass(frozen=True, kw_only=True, slots=True)
class Group:
    """Troubles that meet."""

    at_s: float
    moment: Moment
    troubles: tuple[Trouble, ...]


def read_troubles(path: Path = TROUBLES) -> list[Trouble]:
    """Return all troubles of a file."""
    document = tomllib.loads(path.read_text())
    return [
        Trouble(
            name=_name(entry),
            planned=section == "plan",
            grown=entry.pop("grown", False),
            entry=entry,
        )
        for section in ("plan", "faults")
        for entry in document[section]
    ]


def _name(entry: Entry) -> str:
    return " ".join(filter(None, (entry["kind"], entry.get("how", ""))))


def cover_all(troubles: list[Trouble], rng: random.Random) -> dict[str, list[Group]]:
    """Return the days of all deployments and those of grown ones, by name."""
    anywhere = [trouble for trouble in troubles if not trouble.grown]
    pairs_anywhere = set(_pairs(trouble.name for trouble in anywhere))
    pairs_grown = set(_pairs(trouble.name for trouble in troubles)) - pairs_anywhere
    days = cover(anywhere, pairs_anywhere, rng)
    named = {f"pairs-{number:02}": groups for number, groups in enumerate(days, 1)}
    days = cover(troubles, pairs_grown, rng)
    return named | {f"pairs-grown-{number:02}": each for number, each in enumerate(days, 1)}


def cover(
    troubles: list[Trouble], pairs: set[tuple[str, str]], rng: random.Random
) -> list[list[Group]]:
    """Return days whose groups of ``troubles`` contain all ``pairs``."""
    open_pairs = set(pairs)
    days = []
    while open_pairs:
        day = []
        for at_s, moment in MOMENTS:
            chosen = _best_group(troubles, open_pairs, rng)
            open_pairs -= set(_pairs(trouble.name for trouble in chosen))
            day.append(Group(at_s=at_s, moment=moment, troubles=chosen))
        days.append(day)
    return days


def _best_group(
    troubles: list[Trouble], open_pairs: set[tuple[str, str]], rng: random.Random
) -> tuple[Trouble, ...]:
    by_name = {trouble.name: trouble for trouble in troubles}
    best: tuple[Trouble, ...] = tuple(rng.sample(troubles, GROUP))
    most = -1
    ordered = sorted(open_pairs)
    for _ in range(CANDIDATES):
        first = [by_name[name] for name in rng.choice(ordered)] if ordered else []
        rest = [trouble for trouble in troubles if trouble not in first]
        group = tuple(first + rng.sample(rest, GROUP - len(first)))
        new = len(open_pairs.intersection(_pairs(trouble.name for trouble in group)))
        if new > most:
            best, most = group, new
    return best


def _pairs(names: Iterable[str]) -> Iterator[tuple[str, str]]:
    return itertools.combinations(sorted(names), 2)


def day_text(name: str, groups: list[Group], rng: random.Random) -> str:
    """Return the file of a day."""
    plan: list[Entry] = []
    faults: list[Entry] = []
    for group in groups:
        match group.moment:
            case Moment.CHANGE:
                plan.append({"at": round(group.at_s - BEFORE_S, 2), **CHANGE})
            case Moment.STOP:
                plan.append({"at": round(group.at_s - BEFORE_S, 2), **STOPS})
        for trouble in group.troubles:
            at_s = round(group.at_s + rng.uniform(0.0, SPREAD_S), 2)
            (plan if trouble.planned else faults).append({"at": at_s, **trouble.entry})
    lines = [f'name = "{name}"', "plan = [", *_entries(plan), "]"]
    lines += ["faults = [", *_entries(faults), "]"]
    return "\n".join(lines) + "\n"


def _entries(entries: list[Entry]) -> Iterator[str]:
    for entry in sorted(entries, key=lambda entry: entry["at"]):
        fields = ", ".join(f"{name} = {_value(value)}" for name, value in entry.items())
        yield f"  {{ {fields} }},"


def _value(value: object) -> str:
    return f'"{value}"' if isinstance(value, str) else str(value)


def page_text(days: dict[str, list[Group]]) -> str:
    """Return the table of all groups."""
    lines = [
        "# Pair days",
        "",
        "Days for the platform's bench in which every two troubles of"
        " `deploy/troubles.toml` begin within a second of each other at least once."
        " `python -m bench.pair_days` writes the days and this table;"
        " [MEASUREMENTS.md](MEASUREMENTS.md) names the days that were played.",
        "",
        "| day | at, s | meanwhile | troubles |",
        "|---|---|---|---|",
    ]
    for name, groups in days.items():
        for group in groups:
            names = ", ".join(trouble.name for trouble in group.troubles)
            lines.append(f"| {name} | {group.at_s:g} | {group.moment.value} | {names} |")
    return "\n".join(lines) + "\n"


def write(days_folder: Path = DAYS, page: Path = PAGE) -> int:
    """Write all days and the page; return the number of days."""
    rng = random.Random(SEED)
    days = cover_all(read_troubles(), rng)
    for path in days_folder.glob("pairs-*.toml"):
        path.unlink()
    for name, groups in days.items():
        (days_folder / f"{name}.toml").write_text(day_text(name, groups, rng))
    page.write_text(page_text(days))
    return len(days)


if __name__ == "__main__":
    print(f"{write()} days written")
