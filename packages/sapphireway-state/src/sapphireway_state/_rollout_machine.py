"""Rollouts of new versions of services as a deterministic, replicated state machine."""

import enum
import math
from collections.abc import Collection

import msgspec

from sapphireway_protocol import DECODE_ERRORS, decode_msgpack
from sapphireway_state._invariants import check_invariant

DURATION_MAX_MS = 7 * 24 * 3600 * 1000.0
NAME_MAX_CHARACTERS = 200
DETAIL_MAX_CHARACTERS = 300
STEPS_MAX = 20  # besides the last one
EXCLUDED_MAX = 16  # versions rolled back in a row; older ones have left long ago


class RolloutState(enum.StrEnum):
    """State of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class VersionRole(enum.StrEnum):
    """Role of a server's version in a rollout of its service."""

    NEW = "new"
    OLD = "old"
    EXCLUDED = "excluded"


class RolloutStep(msgspec.Struct, frozen=True, array_like=True):
    """A step or the end of a rollout.

    Attributes
    ----------
    age_ms : float
        Age of the order, as measured by the leader.
    share : float
        Share from then on.
    detail : str
        Evidence behind it.
    """

    age_ms: float
    share: float
    detail: str


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """The last rollout of a service.

    Attributes
    ----------
    service : str
    version : str
        The new version.
    order : int
        Journal index of the order, which identifies the rollout.
    ordered_s : float
        Wall-clock time of the order at the node that took it.
    duration_ms : float
        Time from the order to the deadline.
    share : float
        Share of the service's requests that the new version may get now.
    state : RolloutState
    detail : str
        Evidence behind the last step or the end.
    changed : int
        Journal index of the last step or the end; the order's index before.
    age_ms : float
        Age of the order at the last step, as measured by the leader.
    base : str
        The only version besides the new one that may get requests, as it was completed
        earlier; "" if all may.
    excluded : tuple of str
        Versions that were rolled back since.
    steps : tuple of RolloutStep
    """

    service: str
    version: str
    order: int
    ordered_s: float
    duration_ms: float
    share: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    detail: str = ""
    changed: int = 0
    age_ms: float = 0.0
    base: str = ""
    excluded: tuple[str, ...] = ()
    steps: tuple[RolloutStep, ...] = ()

    @property
    def running(self) -> bool:
        """Whether the rollout has not ended."""
        return self.state is RolloutState.RUNNING

    def get_role(self, version: str, announced: bool = True) -> VersionRole:
        """Return the role of the servers of a version.

        Parameters
        ----------
        version : str
            "" if unknown.
        announced : bool
            Whether the server has announced itself. One that its node only discovered
            may be of the new version, so it gets nothing until then.
        """
        if version == self.version:
            return VersionRole.NEW
        if not version and not announced:
            return VersionRole.EXCLUDED
        if version in self.excluded or (self.base and version != self.base):
            return VersionRole.EXCLUDED
        return VersionRole.OLD

    def serves(self, version: str, announced: bool = True) -> bool:
        """Return whether servers of a version may get new requests at all."""
        role = self.get_role(version, announced)
        if role is VersionRole.NEW:
            return self.state is not RolloutState.ROLLED_BACK
        moved = self.state is RolloutState.COMPLETED or (
            self.running and self.share >= 1.0
        )
        return role is VersionRole.OLD and not moved


class StartRollout(msgspec.Struct, frozen=True, tag="start", array_like=True):
    """Order to move a service to servers of a version.

    Attributes
    ----------
    service, version : str
    duration_ms : float
    ordered_s : float
        Wall-clock time at the node that proposes the order.
    after : int or None
        Journal index of the order before it for this service, 0 if there was none;
        the order is ignored after any other. None accepts any.
    """

    service: str
    version: str
    duration_ms: float
    ordered_s: float
    after: int | None = None


class StepRollout(msgspec.Struct, frozen=True, tag="step", array_like=True):
    """Raises the share of the new version.

    Attributes
    ----------
    service : str
    order : int
    share : float
    detail : str
    age_ms : float
        Age of the order, as measured by the leader.
    """

    service: str
    order: int
    share: float
    detail: str = ""
    age_ms: float = 0.0


class EndRollout(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """Ends a rollout.

    Attributes
    ----------
    service : str
    order : int
    state : RolloutState
    detail : str
    age_ms : float
        Age of the order, as measured by the leader.
    """

    service: str
    order: int
    state: RolloutState
    detail: str
    age_ms: float = 0.0


RolloutCommand = StartRollout | StepRollout | EndRollout


class RolloutAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The command is in effect, now or since it was first sent."""

    order: int


class RolloutConflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Another rollout of the service is running."""

    version: str
    order: int


class RolloutRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The command is invalid."""

    detail: str


class RolloutIgnored(msgspec.Struct, frozen=True, tag="ignored"):
    """The rollout has ended, is not current, or has this share already.

    For an order: another rollout was ordered since the one that it follows.
    """


RolloutResult = RolloutAccepted | RolloutConflict | RolloutRefused | RolloutIgnored


class CurrentRollout(msgspec.Struct, frozen=True):
    """The last rollout of a service; None if there was none."""

    rollout: Rollout | None


class _Snapshot(msgspec.Struct, frozen=True):
    version: int
    rollouts: list[Rollout]


_command_decoder = msgspec.msgpack.Decoder(RolloutCommand)
_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


def encode_rollout_command(command: RolloutCommand) -> bytes:
    """Encode a command for the journal."""
    return msgspec.msgpack.encode(command)


def decode_rollout_result(content: bytes) -> RolloutResult | None:
    """Return an answer of `RolloutMachine.apply`, or None if it is malformed."""
    return decode_msgpack(content, RolloutResult)


def decode_current_rollout(content: bytes) -> CurrentRollout | None:
    """Return an answer of `RolloutMachine.read`, or None if it is malformed."""
    return decode_msgpack(content, CurrentRollout)


def encode_rollouts(rollouts: Collection[Rollout]) -> bytes:
    """Encode the rollouts of all services."""
    return msgspec.msgpack.encode(list(rollouts))


def decode_rollouts(content: bytes) -> dict[str, Rollout] | None:
    """Return the rollouts by service, or None if they cannot be decoded."""
    rollouts = decode_msgpack(content, list[Rollout])
    if rollouts is None:
        return None
    return {rollout.service: rollout for rollout in rollouts}


def find_order_error(service: str, version: str, duration_ms: float) -> str:
    """Return what is wrong with an order, whatever services exist; "" if nothing."""
    for name, text in (("service", service), ("version", version)):
        if not text.strip() or len(text) > NAME_MAX_CHARACTERS:
            return f"{name}: 1 to {NAME_MAX_CHARACTERS} characters are required"
    if not math.isfinite(duration_ms) or not 0.0 < duration_ms <= DURATION_MAX_MS:
        return f"duration: more than 0 and at most {DURATION_MAX_MS:.0f} ms"
    return ""


class RolloutMachine:
    """Applies commands in journal order; equal journals give equal states.

    Attributes
    ----------
    rollouts : dict of str to Rollout
        The last rollout of each service.
    version : int
        Journal index of the last change.
    """

    __slots__ = ("rollouts", "version")

    def __init__(self):
        self.rollouts = {}
        self.version = 0

    def apply(self, index: int, command: bytes, services: Collection[str]) -> bytes:
        """Apply an encoded `RolloutCommand` and return the encoded `RolloutResult`.

        Parameters
        ----------
        index : int
        command : bytes
        services : collection of str
            Services that exist at this index.
        """
        check_invariant(
            index > self.version, f"index {index} is not above {self.version}"
        )
        return msgspec.msgpack.encode(self._apply(index, command, services))

    def read(self, service: bytes) -> bytes:
        """Return the encoded `CurrentRollout` of a service."""
        rollout = self.rollouts.get(service.decode(errors="replace"))
        return msgspec.msgpack.encode(CurrentRollout(rollout))

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        rollouts = list(self.rollouts.values())
        return msgspec.msgpack.encode(_Snapshot(self.version, rollouts))

    def restore(self, content: bytes) -> None:
        """Replace the state with a snapshot."""
        snapshot = _snapshot_decoder.decode(content)
        self.version = snapshot.version
        self.rollouts = {rollout.service: rollout for rollout in snapshot.rollouts}

    def _apply(self, index, command, services):
        try:
            decoded = _command_decoder.decode(command)
        except DECODE_ERRORS as error:
            return RolloutRefused(str(error))
        if isinstance(decoded, StartRollout):
            return self._start(index, decoded, services)
        current = self.rollouts.get(decoded.service)
        if current is None or current.order != decoded.order or not current.running:
            return RolloutIgnored()
        if isinstance(decoded, StepRollout):
            return self._step(index, decoded, current)
        return self._end(index, decoded, current)

    def _start(self, index, start, services):
        error = find_order_error(start.service, start.version, start.duration_ms)
        if not error and start.service not in services:
            error = f"service: {start.service!r} is not known"
        if error:
            return RolloutRefused(error)
        current = self.rollouts.get(start.service)
        if current is not None and current.version == start.version:
            return RolloutAccepted(current.order)
        if current is not None and current.running:
            return RolloutConflict(current.version, current.order)
        last_order = 0 if current is None else current.order
        if start.after not in (None, last_order):
            return RolloutIgnored()
        base, excluded = _find_predecessors(current, start.version)
        rollout = Rollout(
            start.service,
            start.version,
            index,
            start.ordered_s,
            start.duration_ms,
            changed=index,
            base=base,
            excluded=excluded,
        )
        return self._store(index, rollout)

    def _step(self, index, step, current):
        # A share never falls, so a node that is cut off has one that was allowed once.
        if not current.share < step.share <= 1.0:
            return RolloutIgnored()
        rollout = msgspec.structs.replace(
            current,
            share=step.share,
            detail=step.detail,
            changed=index,
            age_ms=max(current.age_ms, step.age_ms),
            steps=_add_step(current, step.age_ms, step.share, step.detail),
        )
        return self._store(index, rollout)

    def _end(self, index, end, current):
        if end.state is RolloutState.RUNNING:
            return RolloutRefused("a rollout cannot end as running")
        if end.state is RolloutState.COMPLETED and current.share < 1.0:
            return RolloutRefused(
                f"only {current.share:.0%} of the requests were moved"
            )
        rollout = msgspec.structs.replace(
            current,
            state=end.state,
            detail=end.detail,
            changed=index,
            steps=_add_step(current, end.age_ms, current.share, end.detail),
        )
        return self._store(index, rollout)

    def _store(self, index, rollout):
        self.rollouts[rollout.service] = rollout
        self.version = index
        return RolloutAccepted(rollout.order)


def _add_step(rollout, age_ms, share, detail):
    step = RolloutStep(age_ms, share, detail[:DETAIL_MAX_CHARACTERS])
    return (*rollout.steps[:STEPS_MAX], step)


def _find_predecessors(last, version):
    """Return base and excluded versions of a rollout that follows `last`."""
    if last is None:
        return "", ()
    if last.state is RolloutState.COMPLETED:
        return last.version, ()
    excluded = (*last.excluded, last.version)[-EXCLUDED_MAX:]
    base = "" if last.base == version else last.base
    return base, tuple(v for v in excluded if v != version)
