"""Highest concurrent use of sites and links, from the backend servers' logs."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from knapweeddock.model import Config
from knapweeddock.slots import site_cap
from standins.deployment import Deployment


@dataclass(frozen=True, kw_only=True)
class Use:
    """Highest use of something that has a cap.

    Attributes:
        what: Name of the site or link.
        kind: ``site``, ``shift`` (use by other domains) or ``link``.
        peak: Most requests that ran at a time.
        cap: Limit.
    """

    what: str
    kind: str
    peak: int
    cap: int

    @property
    def is_over(self) -> bool:
        """Whether the cap was exceeded."""
        return self.peak > self.cap


@dataclass(frozen=True, kw_only=True)
class SiteRun:
    """One request that ran at a site.

    Attributes:
        site: The site.
        domain: Domain of the entry that the caller used, None when not known.
        start: Wall time of the start.
        end: Wall time of the end.
    """

    site: str
    domain: str | None
    start: float
    end: float


def peak(spans: Iterable[tuple[float, float]]) -> int:
    """Return the most spans that overlap; one may start when another ends."""
    edges = sorted(edge for start, end in spans for edge in ((start, 1), (max(start, end), -1)))
    highest = current = 0
    # At equal times the ends sort first.
    for _, change in edges:
        current += change
        highest = max(highest, current)
    return highest


def site_runs(deployment: Deployment, logs: list[dict], until: float) -> list[SiteRun]:
    """Return the runs of all servers; what still runs counts as running until ``until``."""
    sites = {place.server: place.site for place in deployment.servers}
    domains = {vm.vm: vm.failure_domain for vm in deployment.vms.values()}
    return [
        SiteRun(
            site=sites[log["server"]],
            domain=domains.get(run["entry"]),
            start=run["started_at"],
            end=run["finished_at"] or until,
        )
        for log in logs
        for run in log["runs"]
    ]


def uses(config: Config, runs: list[SiteRun]) -> list[Use]:
    """Return the highest use of each site, each shift and each link with a cap."""
    by_site: dict[str, list] = defaultdict(list)
    shifted: dict[str, list] = defaultdict(list)
    linked: dict[tuple[str, str], list] = defaultdict(list)
    for run in runs:
        site = config.sites[run.site]
        span = (run.start, run.end)
        by_site[run.site].append(span)
        if run.domain is None or run.domain == site.failure_domain:
            continue
        shifted[run.site].append(span)
        origin, target = config.region_of(run.domain), config.region_of(site.failure_domain)
        linked[f"{origin}->{target}", site.pool].append(span)
    found = []
    for name, site in sorted(config.sites.items()):
        found.append(Use(what=name, kind="site", peak=peak(by_site[name]), cap=site_cap(site)))
        shift_cap = site_cap(site) if site.shift_cap is None else site.shift_cap
        found.append(Use(what=name, kind="shift", peak=peak(shifted[name]), cap=shift_cap))
    for name, link in sorted(config.links.items()):
        for pool, cap in link.caps.items():
            spans = linked[name, pool]
            found.append(Use(what=f"{name} {pool}", kind="link", peak=peak(spans), cap=cap))
    return found


def use_records(found: list[Use]) -> list[dict]:
    """Return uses as JSON values."""
    return [asdict(use) for use in found]
