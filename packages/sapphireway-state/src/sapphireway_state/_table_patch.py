"""Changes between routing tables."""

import hashlib

import msgspec

from sapphireway_state._routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceSpec,
    Workspace,
)

DIGEST_BYTES = 16


class TablePatch(msgspec.Struct, frozen=True):
    """Items to add, replace or remove by name.

    Attributes
    ----------
    number : int
        Number of the resulting table.
    services, routes : tuple
        Items to add, or to replace those with the same name.
    limits : CallerLimits or None
    removed_services, removed_routes, removed_hosts : tuple of str
    workspaces : tuple of Workspace
        Workspaces to add, or to replace those with the same name.
    removed_workspaces : tuple of str
    hosts : tuple of str
        Hosts to add, in addition to those of `routes`.
    """

    number: int
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: CallerLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_hosts: tuple[str, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    removed_workspaces: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()


def apply_patch(table: RouteTable, patch: TablePatch) -> RouteTable:
    """Return a copy of `table` with the patch applied."""
    removed_routes = frozenset(patch.removed_routes)
    removed_hosts = frozenset(patch.removed_hosts)
    services = {
        s.name: s for s in table.services if s.name not in patch.removed_services
    }
    services |= {service.name: service for service in patch.services}
    routes = {
        route.name: route
        for route in table.routes
        if route.name not in removed_routes and route.host not in removed_hosts
    }
    routes |= {route.name: route for route in patch.routes}
    hosts = dict.fromkeys(h for h in table.hosts if h not in removed_hosts)
    hosts |= dict.fromkeys(patch.hosts)
    hosts |= dict.fromkeys(route.host for route in patch.routes)
    workspaces = {
        w.name: w for w in table.workspaces if w.name not in patch.removed_workspaces
    }
    workspaces |= {workspace.name: workspace for workspace in patch.workspaces}
    return RouteTable(
        patch.number,
        tuple(services.values()),
        tuple(hosts),
        tuple(routes.values()),
        patch.limits or table.limits,
        tuple(workspaces.values()),
    )


def make_patch(old: RouteTable, new: RouteTable) -> TablePatch | None:
    """Return a patch that turns `old` into `new`.

    Returns None if there is no such patch, as it can't reorder items.
    """
    services, removed_services = _compare_items(old.services, new.services)
    routes, removed_routes = _compare_items(old.routes, new.routes)
    workspaces, removed_workspaces = _compare_items(old.workspaces, new.workspaces)
    patch = TablePatch(
        new.number,
        services,
        routes,
        None if new.limits == old.limits else new.limits,
        removed_services,
        removed_routes,
        tuple(host for host in old.hosts if host not in new.hosts),
        workspaces,
        removed_workspaces,
        tuple(host for host in new.hosts if host not in old.hosts),
    )
    return patch if apply_patch(old, patch) == new else None


def reuse_items(table: RouteTable, known: RouteTable) -> RouteTable:
    """Return a table equal to `table` that shares its unchanged routes with `known`.

    Tables that a node keeps then take memory for their changes only.
    """
    known_routes = {route.name: route for route in known.routes}
    routes = (
        known_route if (known_route := known_routes.get(route.name)) == route else route
        for route in table.routes
    )
    return msgspec.structs.replace(table, routes=tuple(routes))


def digest_table(table: RouteTable) -> bytes:
    """Return a digest of a table."""
    content = msgspec.msgpack.encode(table)
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def _compare_items(old, new):
    """Return the new or changed items, and the names of the removed ones."""
    old_items = {item.name: item for item in old}
    new_names = {item.name for item in new}
    changed = tuple(item for item in new if old_items.get(item.name) != item)
    return changed, tuple(name for name in old_items if name not in new_names)
