"""Messages by which operators learn the state of the control hosts."""

import msgspec

from sapphireway_protocol._quorum import QuorumMember


class ControlHostState(
    msgspec.Struct, frozen=True, tag="control_host_state", array_like=True
):
    """What a control host knows of itself and of the quorum.

    Attributes
    ----------
    role : str
        What the host does now, such as ``leader`` or ``learner``.
    cluster_id, disk_id : str
    term : int
    leader : str
        Address of the leader that the host knows, or empty.
    commit_index, last_index : int
    members : list of QuorumMember
        By the latest committed change that the host knows.
    disk : str
        ``ok``, or what is wrong with the data folder.
    detail : str
        Why the host does not take part, if it does not.
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
    """Ask a control host for its `ControlHostState`."""


MESSAGES = (ControlHostState, ReadControlHost)
