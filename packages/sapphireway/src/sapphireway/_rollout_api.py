"""Handlers of the operator's HTTP interface for rollouts."""

import msgspec

from sapphireway._operator import OrderHandler
from sapphireway._operator_backend import OperatorBackend, Unavailable
from sapphireway._rollout_orders import RolloutOrders
from sapphireway._stalls import StallWatch
from sapphireway_protocol import DECODE_ERRORS
from sapphireway_state import (
    RolloutConflict,
    RolloutOrdered,
    RolloutRefused,
    RolloutRequest,
    describe_rollout,
)


def make_rollout_routes(
    backend: OperatorBackend, orders: RolloutOrders, watch: StallWatch
) -> list:
    """Return the routes to add to the application of the admin address."""
    arguments = {"backend": backend, "orders": orders, "watch": watch}
    return [
        ("/v1/rollouts", RolloutsHandler, arguments),
        ("/v1/rollouts/([^/]+)", RolloutHandler, arguments),
    ]


class _RolloutOrderHandler(OrderHandler):
    def initialize(self, backend, orders, watch):
        super().initialize(backend, watch)
        self.orders = orders


class RolloutsHandler(_RolloutOrderHandler):
    """Orders rollouts."""

    async def post(self):
        """Order one and reply with `RolloutOrdered`."""
        self.require_token()
        try:
            request = msgspec.json.decode(self.request.body, type=RolloutRequest)
        except DECODE_ERRORS as error:
            self.fail(400, "bad_request", str(error))
        result = await self.orders.start(
            request.service,
            request.version,
            request.duration_ms,
            self.sender.find_staleness,
        )
        self.backend.log_event(
            "rollout_ordered",
            service=request.service,
            version=request.version,
            duration_ms=request.duration_ms,
            operator=request.operator,
            reason=request.reason,
            result=type(result).__name__,
        )
        match result:
            case Unavailable(detail, maybe_applied):
                error = "unknown" if maybe_applied else "unavailable"
                self.fail(503, error, detail)
            case RolloutRefused(detail):
                self.fail(400, "bad_request", detail)
            case RolloutConflict(version):
                detail = f"a rollout of {version!r} is running"
                self.fail(409, "conflict", detail)
        self.reply(RolloutOrdered(request.service, request.version, result.order))


class RolloutHandler(_RolloutOrderHandler):
    """Returns the last rollout of a service."""

    async def get(self, service: str):
        """Reply with a `RolloutStatus`."""
        rollout = await self.orders.read(service)
        if isinstance(rollout, Unavailable):
            self.fail(503, "unavailable", rollout.detail)
        if rollout is None:
            self.fail(404, "not_found", f"no rollout of {service!r} was ordered")
        self.reply(describe_rollout(rollout))
