"""Orders of rollouts and linearizable reads of their state, through the quorum."""

import time
from collections.abc import Callable

from sapphireway._operator_backend import (
    UNREADABLE_ANSWER,
    FindStaleness,
    Unavailable,
)
from sapphireway._short_tries import repeat_in_short_tries
from sapphireway_coordination import (
    ROLLOUT_PREFIX,
    Committed,
    ControlClient,
    ReadResult,
)
from sapphireway_state import (
    Rollout,
    RolloutIgnored,
    RolloutRefused,
    RolloutResult,
    StartRollout,
    decode_current_rollout,
    decode_rollout_result,
    encode_rollout_command,
    find_order_error,
)

ORDER_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 1.5
OVERTAKEN_MAX = 3  # later orders of a service before an order fails


class RolloutOrders:
    """Orders rollouts and reads their state.

    Parameters
    ----------
    control_client : ControlClient
    wall_clock : callable
        Seconds since the epoch.
    """

    __slots__ = ("_control_client", "_wall_clock")

    def __init__(
        self,
        control_client: ControlClient,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._control_client = control_client
        self._wall_clock = wall_clock

    async def start(
        self,
        service: str,
        version: str,
        duration_ms: float,
        find_staleness: FindStaleness,
    ) -> RolloutResult | Unavailable:
        """Order a rollout; the same order is acknowledged again.

        The order is accepted only behind the rollout of the service that was the last
        one when `find_staleness` found the order valid.

        Parameters
        ----------
        service, version : str
        duration_ms : float
        find_staleness : callable
            Returns why the order must not be carried out any more, or None.
        """
        error = find_order_error(service, version, duration_ms)
        if error:
            return RolloutRefused(error)
        for _ in range(OVERTAKEN_MAX):
            last = await self.read(service)
            if isinstance(last, Unavailable):
                return last
            staleness = await find_staleness()
            if staleness is not None:
                return Unavailable(staleness)
            after = 0 if last is None else last.order
            start = StartRollout(
                service, version, duration_ms, self._wall_clock(), after
            )
            result = await self._propose(start)
            if not isinstance(result, RolloutIgnored):
                return result
        return Unavailable(f"later orders of {service!r} overtook this one")

    async def _propose(self, start):
        command = ROLLOUT_PREFIX + encode_rollout_command(start)
        result = await repeat_in_short_tries(
            lambda timeout_s: self._control_client.propose(command, timeout_s),
            ORDER_TIMEOUT_S,
        )
        if not isinstance(result, Committed):
            return Unavailable(result.detail, result.maybe_applied)
        if not result.result:
            return Unavailable("the control hosts run an older version")
        return decode_rollout_result(result.result) or Unavailable(
            UNREADABLE_ANSWER, maybe_applied=True
        )

    async def read(self, service: str) -> Rollout | Unavailable | None:
        """Return the last rollout of a service, or None if there was none."""
        query = ROLLOUT_PREFIX + service.encode()
        result = await repeat_in_short_tries(
            lambda timeout_s: self._control_client.read(query, timeout_s),
            READ_TIMEOUT_S,
        )
        if not isinstance(result, ReadResult):
            return Unavailable(result.detail)
        if not result.data:
            return Unavailable("the control hosts run an older version")
        current = decode_current_rollout(result.data)
        return Unavailable(UNREADABLE_ANSWER) if current is None else current.rollout
