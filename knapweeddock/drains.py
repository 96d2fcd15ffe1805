"""The ``drains`` part of a configuration: what operators take out of service."""

from dataclasses import dataclass, field

from knapweeddock.changes import Document, merge_document
from knapweeddock.checks import DRAINS, config_of
from knapweeddock.codes import ResultCode
from knapweeddock.errors import ConfigError
from knapweeddock.explain import pool_sites
from knapweeddock.ids import FailureDomainId, ServerId, SiteId, VmId
from knapweeddock.model import Config
from knapweeddock.problems import Problem, format_path, raise_problems, show


@dataclass(frozen=True, kw_only=True)
class Targets:
    """What to drain or undrain."""

    servers: list[ServerId] = field(default_factory=list)
    sites: list[SiteId] = field(default_factory=list)
    vms: list[VmId] = field(default_factory=list)
    failure_domains: list[FailureDomainId] = field(default_factory=list)

    def parts(self) -> dict[str, list[str]]:
        """Return the names by part of the document, parts without names left out."""
        parts = {
            "servers": self.servers,
            "sites": self.sites,
            "vms": self.vms,
            "failure_domains": self.failure_domains,
        }
        return {part: names for part, names in parts.items() if names}

    def check_not_empty(self) -> None:
        """Check that something is named.

        Raises:
            ConfigError: Nothing is named.
        """
        if not self.parts():
            raise ConfigError(
                "no server, site, VM or failure domain is named", code=ResultCode.MISSING_FIELD
            )


def with_drains(document: Document, targets: Targets) -> Document:
    """Return ``document`` with the drains of ``targets``.

    Raises:
        ExceptionGroup: A name is not defined.
    """
    _check_defined(config_of(document), targets)
    patch = {part: dict.fromkeys(names, True) for part, names in targets.parts().items()}
    return merge_document(document, {DRAINS: patch})


def without_drains_of(document: Document, targets: Targets) -> Document:
    """Return ``document`` without the drains of ``targets``; other names are ignored."""
    drains = document.get(DRAINS)
    if not isinstance(drains, dict):
        return document
    patch: Document = {}
    for part, names in targets.parts().items():
        drained = drains.get(part)
        if isinstance(drained, dict):
            patch[part] = {name: None for name in names if name in drained}
    return merge_document(document, {DRAINS: patch})


def _check_defined(config: Config, targets: Targets) -> None:
    defined = _defined_names(config)
    problems = [
        Problem(
            code=ResultCode.UNKNOWN_REFERENCE,
            file="",
            path=(DRAINS, part, name),
            found=show(name),
            allowed=f"one of the {len(defined[part])} names in the configuration",
        )
        for part, names in targets.parts().items()
        if part in defined
        for name in names
        if name not in defined[part]
    ]
    if problems:
        raise_problems(problems)


def _defined_names(config: Config) -> dict[str, set[str]]:
    """Return the names that can be drained; VMs are not part of a configuration."""
    regions = config.regions.values()
    return {
        "servers": {server for site in config.sites.values() for server in site.servers},
        "sites": set(config.sites),
        "failure_domains": {domain for region in regions for domain in region.failure_domains},
    }


def unused_drains(config: Config) -> list[str]:
    """Return the paths of drains that name nothing in the configuration.

    They are left when a drained object is removed from the folder.
    """
    drained = {
        "servers": config.drains.servers,
        "sites": config.drains.sites,
        "failure_domains": config.drains.failure_domains,
    }
    defined = _defined_names(config)
    return [
        format_path((DRAINS, part, name))
        for part, names in drained.items()
        for name in names
        if name not in defined[part]
    ]


def unserved_pools(config: Config) -> list[str]:
    """Return the pools whose sites are all drained."""
    pools = sorted({site.pool for site in config.sites.values()})
    return [pool for pool in pools if not any(site.usable for site in pool_sites(config, pool))]
