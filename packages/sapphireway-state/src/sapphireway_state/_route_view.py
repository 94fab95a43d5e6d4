"""A routing table, indexed for the data path."""

import msgspec

from sapphireway_state._routes import Route, RouteTable, ServiceSpec, Workspace

DEFAULT_SERVICE = ServiceSpec("")


class _RoundRobin(msgspec.Struct):
    """Smooth weighted round robin state of one route.

    Attributes
    ----------
    current_weights : list of float
        How far each target is behind its share; the largest one is chosen next.
    """

    current_weights: list[float]


class RouteView:
    """Finds the route and service of a request.

    Parameters
    ----------
    table : RouteTable
        Table in which `check_table` finds no problem.
    version : int
        Journal index of its publication; 0 for no table.
    previous : RouteView, optional
        View of the table before; routes with the same targets go on splitting requests
        where it stopped. From the start, each table would send its first requests to
        the heaviest target, and a storm of tables nearly all of them.
    """

    __slots__ = (
        "_by_host",
        "_round_robins",
        "_services",
        "_workspaces",
        "table",
        "version",
    )

    def __init__(
        self, table: RouteTable, version: int, previous: "RouteView | None" = None
    ):
        self.table = table
        self.version = version
        self._by_host = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._services = {service.name: service for service in table.services}
        self._workspaces = {
            key: workspace for workspace in table.workspaces for key in workspace.keys
        }
        self._round_robins = {}
        if previous is not None:
            self._round_robins = previous._get_round_robins(table)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, if any.

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
            # Prefixes end with a slash, so only these substrings can match.
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def choose_service(self, route: Route) -> str:
        """Return the service that gets the next request of a route.

        Uses smooth weighted round robin: any sequence of requests is split as
        closely to the weights as whole requests allow.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = _RoundRobin(
                [0.0] * len(targets)
            )
        for index, target in enumerate(targets):
            round_robin.current_weights[index] += target.weight
        chosen = max(range(len(targets)), key=round_robin.current_weights.__getitem__)
        round_robin.current_weights[chosen] -= sum(target.weight for target in targets)
        return targets[chosen].service

    def _get_round_robins(self, table):
        """Return the state of the routes that have the same targets in `table`."""
        targets = {route.name: route.targets for route in table.routes}
        return {
            route.name: self._round_robins[route.name]
            for route in self.table.routes
            if route.name in self._round_robins
            and targets.get(route.name) == route.targets
        }

    def get_service(self, name: str) -> ServiceSpec:
        """Return the configuration of a service, or the defaults."""
        return self._services.get(name, DEFAULT_SERVICE)

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace with this API key, if any."""
        return self._workspaces.get(key)
