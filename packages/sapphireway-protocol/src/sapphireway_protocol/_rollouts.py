"""Messages of rollouts, from the gates to the control hosts."""

import msgspec


class KindCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of a server to requests of one kind since the rollout was ordered.

    Attributes
    ----------
    answers : int
        Requests that the server ran and that ended, well or not.
    failures : int
        Server errors, broken answers and missing answers.
    latencies : list of int
        Answers in each latency bucket while the server was not cold; empty buckets at
        the end are left out.
    """

    answers: int
    failures: int
    latencies: list[int]


class VersionReport(msgspec.Struct, frozen=True, tag="version_report", array_like=True):
    """Counts of a server of a service with a running rollout.

    Attributes
    ----------
    service : str
    order : int
        Identifies the rollout.
    version : str
        Version of the server; "" if unknown.
    server : str
    in_flight : int
        Requests that run or wait at the node.
    kinds : dict of str to KindCounts
        Since this start of the node, or the order if that is later.
    cold : bool
        Whether the server cannot take its share of the requests yet, or no more.
    """

    service: str
    order: int
    version: str
    server: str
    in_flight: int
    kinds: dict[str, KindCounts]
    cold: bool = False


MESSAGES = (VersionReport,)
