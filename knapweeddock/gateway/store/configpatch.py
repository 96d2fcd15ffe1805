"""Differences between two versions of the routing configuration.

Load pattern: a configuration of thousands of routes changes a few times a second, and each
change has to reach every gateway. A patch holds only the routes that differ, so its size
depends on the change and not on the configuration.
"""

import msgspec

from knapweeddock.errors import PatchMismatch
from knapweeddock.gateway.routes import Route, RoutingConfig, ServicePolicy
from knapweeddock.http1.server import ClientLimits
from knapweeddock.ids import RouteId, ServiceId, Version


class ConfigPatch(msgspec.Struct, frozen=True, kw_only=True):
    """What turns one version of the configuration into another.

    Attributes:
        base: Version to which the patch applies.
        version: Version that it results in.
        changed: Routes that are new or differ, in the order of the new version.
        removed: Routes that the new version lacks.
        services: All services of the new version.
        limits: Limits of the new version.
    """

    base: Version
    version: Version
    changed: list[Route]
    removed: list[RouteId]
    services: dict[ServiceId, ServicePolicy]
    limits: ClientLimits


def make_patch(old: RoutingConfig, new: RoutingConfig) -> ConfigPatch | None:
    """Return the patch that turns ``old`` into ``new``.

    Returns:
        None if the routes of ``new`` cannot be told as a patch: they are in another order, or
        two have the same name.
    """
    known = {route.route: route for route in old.routes}
    kept = {route.route for route in new.routes}
    patch = ConfigPatch(
        base=old.version,
        version=new.version,
        changed=[route for route in new.routes if known.get(route.route) != route],
        removed=[name for name in known if name not in kept],
        services=new.services,
        limits=new.limits,
    )
    return patch if _patched_routes(old, patch) == new.routes else None


def apply_patch(old: RoutingConfig, patch: ConfigPatch) -> RoutingConfig:
    """Return the configuration that results from ``patch``.

    Raises:
        PatchMismatch: The patch belongs to another version than that of ``old``.
    """
    if old.version != patch.base:
        raise PatchMismatch(f"patch of version {patch.base} for version {old.version}")
    return RoutingConfig(
        version=patch.version,
        routes=_patched_routes(old, patch),
        services=patch.services,
        limits=patch.limits,
    )


def _patched_routes(old: RoutingConfig, patch: ConfigPatch) -> tuple[Route, ...]:
    """Return the routes of ``old`` with the changed ones in their places and new ones last."""
    routes = {route.route: route for route in old.routes}
    for name in patch.removed:
        routes.pop(name, None)
    for route in patch.changed:
        routes[route.route] = route
    return tuple(routes.values())
