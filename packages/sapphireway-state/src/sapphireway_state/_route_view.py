"""A routing table in force, ready for the data path."""

from dataclasses import dataclass

from sapphireway_state._routes import Route, RouteTable, ServiceSpec

UNKNOWN_SERVICE = ServiceSpec("")


@dataclass(slots=True)
class _Split:
    """How far each target of a route is ahead of its share."""

    credits: list[float]


class RouteView:
    """Finds the route and the service of a request.

    Parameters
    ----------
    table : RouteTable
        A table that `check_table` finds nothing wrong with.
    version : int
        Journal position of its publication; 0 for no table.
    """

    __slots__ = ("_by_host", "_services", "_splits", "table", "version")

    def __init__(self, table: RouteTable, version: int):
        self.table = table
        self.version = version
        self._by_host = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._services = {service.name: service for service in table.services}
        self._splits = {}

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that begins the path, if any.

        Parameters
        ----------
        host : str
            Value of the Host header; a port is ignored.
        target : str
            Path and query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].strip().lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            # Prefixes end with a slash, so that only these cuts can match.
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def choose_service(self, route: Route) -> str:
        """Return the service of the next request of a route.

        Smooth weighted round robin: every run of requests is as close to the
        weights as whole requests allow.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = _Split([0.0] * len(targets))
        for index, target in enumerate(targets):
            split.credits[index] += target.weight
        best = max(range(len(targets)), key=split.credits.__getitem__)
        split.credits[best] -= sum(target.weight for target in targets)
        return targets[best].service

    def get_service(self, name: str) -> ServiceSpec:
        """Return what operators say of a service, or the defaults."""
        return self._services.get(name, UNKNOWN_SERVICE)
