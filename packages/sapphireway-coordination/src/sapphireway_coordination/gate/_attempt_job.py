"""State of an attempt while the gate processes it."""

import asyncio
from collections.abc import Callable

import msgspec

from sapphireway_coordination.gate._admission import Waiter
from sapphireway_coordination.gate._attempt_memory import AttemptRecord
from sapphireway_coordination.gate._capacity import RunningRequest, ServerCapacity
from sapphireway_protocol import NotRunReason, Reply, Run
from sapphireway_state import Policy


class AttemptJob(msgspec.Struct):
    """An attempt that this node was asked to run.

    Attributes
    ----------
    sender : str
        Address of the entry node.
    run : Run
    body : bytes
    policy : Policy
    record : AttemptRecord
    arrived_s, deadline_s, target_s : float
        Loop times; the target is infinite if there is none.
    task : Task or None
    waiter : Waiter or None
        Set once it waits for a slot.
    refusal : NotRunReason or None
        Set if it must not start, before the refusal has been sent.
    capacity : ServerCapacity or None
    running : RunningRequest or None
        Set once it has started.
    sending : bool
        True while its request to the server is in progress.
    """

    sender: str
    run: Run
    body: bytes
    policy: Policy
    record: AttemptRecord
    arrived_s: float
    deadline_s: float
    target_s: float
    task: asyncio.Task | None = None
    waiter: Waiter | None = None
    refusal: NotRunReason | None = None
    capacity: ServerCapacity | None = None
    running: RunningRequest | None = None
    sending: bool = False


FinishJob = Callable[[AttemptJob, Reply, bytes], None]
"""Receives the reply of a finished attempt and the reply's body."""
