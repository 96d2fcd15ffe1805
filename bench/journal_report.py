"""Plots of the platform bench's journal: worth by day and prices by part, per deployment.

``make report`` writes them to ``bench/results``.
"""

from dataclasses import dataclass
from pathlib import Path

import matplotlib
import msgspec

matplotlib.use("Agg")

from matplotlib import pyplot

JOURNAL = Path("journal")
RESULTS = Path("bench/results")

SHOWN_PRICES = 6
"""Largest prices that are shown by themselves."""


class PlayedDay(msgspec.Struct, frozen=True, kw_only=True):
    """One day of a journal entry.

    Attributes:
        name: Name of the day.
        G: What the day was worth, as the bench calls it.
        served: Share of the credit that was earned.
        prices: Name, amount and cost of each price.
    """

    name: str
    G: float
    served: float = 0.0
    prices: list[tuple[str, float, float]] = []


class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What a plot needs of a journal entry."""

    id: str
    cmd: str
    at: list[str]
    site: str | None = None
    ok: bool = False
    days: list[PlayedDay] = []


@dataclass(frozen=True, kw_only=True)
class Version:
    """One score of a deployment."""

    label: str
    days: dict[str, PlayedDay]


def read_scores(folder: Path) -> dict[str, list[Version]]:
    """Return the finished scores of each deployment, oldest first."""
    sites: dict[str, list[Version]] = {}
    decoder = msgspec.json.Decoder(JournalEntry)
    for path in sorted(folder.glob("*.json")):
        entry = decoder.decode(path.read_bytes())
        if entry.cmd == "score" and entry.ok and entry.site and entry.days:
            days = {day.name: day for day in entry.days if not day.name.startswith("fresh")}
            sites.setdefault(entry.site, []).append(Version(label=entry.id, days=days))
    return sites


def plot(site: str, versions: list[Version], folder: Path) -> Path:
    """Draw worth by day and prices by part over the versions."""
    figure, (worth, prices) = pyplot.subplots(2, 1, figsize=(9, 9), constrained_layout=True)
    labels = [version.label for version in versions]
    for name in sorted({name for version in versions for name in version.days}):
        values = [version.days[name].G if name in version.days else None for version in versions]
        worth.plot(labels, values, marker="o", label=name)
    worth.set_title(f"{site}: worth by day")
    worth.legend(fontsize="small")
    for name in _largest_prices(versions[-1]):
        prices.plot(labels, [_mean_price(version, name) for version in versions], label=name)
    prices.set_title("mean price by part")
    prices.legend(fontsize="small")
    path = folder / f"{site}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _mean_price(version: Version, name: str) -> float:
    costs = [
        cost for day in version.days.values() for found, _, cost in day.prices if found == name
    ]
    return sum(costs) / len(costs) if costs else 0.0


def _largest_prices(version: Version) -> list[str]:
    names = {name for day in version.days.values() for name, _, _ in day.prices}
    ordered = sorted(names, key=lambda name: -_mean_price(version, name))
    return ordered[:SHOWN_PRICES]


def main() -> None:
    """Write one plot per deployment."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    for site, versions in read_scores(JOURNAL).items():
        print(plot(site, versions, RESULTS))


if __name__ == "__main__":
    main()
