"""Messages that report the state of control hosts to operators."""

import msgspec

from sapphireway_protocol._quorum import QuorumMember


class ControlHostState(
    msgspec.Struct, frozen=True, tag="control_host_state", array_like=True
):
    """State of a control host, and of the quorum as the host knows it.

    Attributes
    ----------
    role : str
        Current role, such as ``leader`` or ``learner``.
    cluster_id, disk_id : str
    term : int
    leader : str
        Address of the leader; empty if the host knows none.
    commit_index, last_index : int
    members : list of QuorumMember
        Members after the latest committed change that the host knows.
    disk : str
        ``ok``, or the problem of the data folder.
    detail : str
        Why the host does not participate; empty if it does.
    """

    role: str
    cluster_id: str
    disk_id: str
    term: int
    leader: str
    commit_index: int
    last_index: int
    members: list[QuorumMember]
    disk: str
    detail: str


class ReadControlHost(
    msgspec.Struct, frozen=True, tag="read_control_host", array_like=True
):
    """Request for the `ControlHostState` of a control host."""


MESSAGES = (ControlHostState, ReadControlHost)
