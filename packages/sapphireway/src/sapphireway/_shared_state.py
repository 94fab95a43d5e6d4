"""Builds what a node shares with other nodes: links, settings, members and claims."""

import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from sapphireway._logs import EventLog
from sapphireway._publisher import Publisher, make_edit_id_generator
from sapphireway._registration import ServerRegistration
from sapphireway._rollout_orders import RolloutOrders
from sapphireway_coordination import (
    GROUP_PREFIX,
    AgeClock,
    AppliedState,
    ClaimHolder,
    ControlClient,
    ControlHostList,
    HolderSettings,
    Membership,
    QuotaClient,
    ReadResult,
    SettingsChannel,
)
from sapphireway_protocol import ClaimGroup, NodeEntry, Peers, decode_msgpack
from sapphireway_state import ProcessSettings
from sapphireway_transport import FileDisk, ZmqEndpoint, read_instant

INCARNATION_BYTES = 8
CONTROL_READ_TIMEOUT_S = 1.0
STATE_FOLDER_NAME = "state"


class SharedState(msgspec.Struct, frozen=True):
    """Components through which a node takes part in the system.

    Attributes
    ----------
    peers : Peers
    control_hosts : ControlHostList
    control_client : ControlClient
    publisher : Publisher
    rollout_orders : RolloutOrders
    holder : ClaimHolder
    applied : AppliedState
        Settings, claim groups and routes in force at this node.
    disk : FileDisk or None
        Keeps the settings across restarts.
    channel : SettingsChannel
    registration : ServerRegistration
    membership : Membership
    quotas : QuotaClient
    """

    peers: Peers
    control_hosts: ControlHostList
    control_client: ControlClient
    publisher: Publisher
    rollout_orders: RolloutOrders
    holder: ClaimHolder
    applied: AppliedState
    disk: FileDisk | None
    channel: SettingsChannel
    registration: ServerRegistration
    membership: Membership
    quotas: QuotaClient


def build_shared_state(
    settings: ProcessSettings,
    log: EventLog,
    observe: Callable[[Any], None],
    rng: random.Random,
    on_settings_applied: Callable[[], None],
) -> SharedState:
    """Build the components and connect them.

    Parameters
    ----------
    settings : ProcessSettings
    log : EventLog
    observe : callable
        Called with each event.
    rng : random.Random
    on_settings_applied : callable
        Called after newer settings came into force.
    """
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    endpoint = ZmqEndpoint(settings.address)
    peers = Peers(endpoint, incarnation, lambda: applied.version)
    control_hosts = ControlHostList(settings.control_hosts)
    control_client = ControlClient(peers, control_hosts, rng, _make_unanswered_log(log))
    publisher = Publisher(control_client, make_edit_id_generator(incarnation))
    holder = ClaimHolder(
        peers,
        _make_group_reader(control_client),
        rng,
        HolderSettings(limit_bytes=settings.claim_memory_max_bytes),
        observe,
        lambda service: applied.view.resolve("", service, "").claim_run_when_unsure,
    )
    applied = AppliedState(holder.apply_group)
    disk = None
    if settings.data_folder:
        disk = FileDisk(Path(settings.data_folder) / STATE_FOLDER_NAME)
    channel = SettingsChannel(
        peers,
        applied,
        on_settings_applied,
        time.time,
        disk,
        _make_save_failure_log(log),
        lambda peer: log.warning("settings_not_fetched", peer=peer),
        _make_fetch_log(log),
    )
    peers.observe = channel.observe
    registration = ServerRegistration(lambda: channel.in_force_since_s)
    membership = Membership(
        peers,
        control_hosts,
        _make_entry(settings, incarnation),
        rng,
        registration.get_report,
        channel.fetch_from,
        lambda host: log.warning("control_host_silent", host=host),
    )
    clock = AgeClock(read_instant)
    quotas = QuotaClient(peers, control_hosts, rng, clock, observe)
    return SharedState(
        peers,
        control_hosts,
        control_client,
        publisher,
        RolloutOrders(control_client),
        holder,
        applied,
        disk,
        channel,
        registration,
        membership,
        quotas,
    )


def _make_group_reader(control_client):
    async def read_group(name):
        query = GROUP_PREFIX + name.encode()
        answer = await control_client.read(query, CONTROL_READ_TIMEOUT_S)
        if not isinstance(answer, ReadResult):
            return None
        return decode_msgpack(answer.data, ClaimGroup | None)

    return read_group


def _make_unanswered_log(log):
    def log_unanswered(host, request, size, waited_s):
        log.warning(
            "control_request_unanswered",
            host=host,
            request=request,
            bytes=size,
            waited_ms=round(1000 * waited_s, 1),
        )

    return log_unanswered


def _make_fetch_log(log):
    def log_fetch(peer, size, took_s):
        log.info(
            "settings_fetched", peer=peer, bytes=size, took_ms=round(1000 * took_s, 1)
        )

    return log_fetch


def _make_save_failure_log(log):
    def log_save_failure(failed):
        log.warning("settings_not_saved", file=failed.name, detail=failed.detail)

    return log_save_failure


def _make_entry(settings, incarnation):
    return NodeEntry(
        settings.address,
        settings.domain,
        settings.region,
        incarnation,
        time.time(),
        0,
        [],
    )
