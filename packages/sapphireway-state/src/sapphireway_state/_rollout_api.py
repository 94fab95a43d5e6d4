"""JSON messages of the operator's HTTP API for rollouts."""

import msgspec

from sapphireway_state._rollout_machine import Rollout


class RolloutRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/rollouts``; the same order may be sent again.

    Attributes
    ----------
    service, version : str
    duration_ms : float
        Time until the deadline.
    operator, reason : str
        For the log.
    """

    service: str
    version: str
    duration_ms: float
    operator: str = ""
    reason: str = ""


class RolloutOrdered(msgspec.Struct, frozen=True):
    """Answer to an accepted order; `order` identifies the rollout."""

    service: str
    version: str
    order: int


class RolloutStepStatus(msgspec.Struct, frozen=True):
    """A step or the end of a rollout.

    Attributes
    ----------
    age_s : float
        Time since the order, by the clock of the leader.
    share : float
        Share of the requests from then on.
    evidence : str
    """

    age_s: float
    share: float
    evidence: str


class RolloutStatus(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/rollouts/SERVICE``.

    Attributes
    ----------
    service, version : str
    state : str
        ``running``, ``completed`` or ``rolled_back``.
    share : float
        Share of the requests that the new version may get; the last one if it ended.
    order : int
        Journal index of the order.
    ordered_s : float
        Wall-clock time of the order.
    duration_s : float
    detail : str
        Evidence behind the last step or the end.
    steps : list of RolloutStepStatus
    """

    service: str
    version: str
    state: str
    share: float
    order: int
    ordered_s: float
    duration_s: float
    detail: str
    steps: list[RolloutStepStatus] = []


def describe_rollout(rollout: Rollout) -> RolloutStatus:
    """Return the status of a rollout for operators."""
    return RolloutStatus(
        rollout.service,
        rollout.version,
        rollout.state.value,
        rollout.share,
        rollout.order,
        rollout.ordered_s,
        rollout.duration_ms / 1000.0,
        rollout.detail,
        [
            RolloutStepStatus(step.age_ms / 1000.0, step.share, step.detail)
            for step in rollout.steps
        ],
    )
