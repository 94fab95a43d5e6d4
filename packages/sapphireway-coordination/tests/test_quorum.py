import asyncio
import itertools
import random
from functools import partial

import msgspec
import pytest
from tests.quorum_cluster import SETTINGS, Cluster

from sapphireway_coordination import (
    Committed,
    Current,
    DiskFailureSeen,
    MembersProposed,
    NotLeader,
    ReadResult,
    Role,
    Unavailable,
)
from sapphireway_protocol import (
    Append,
    AppendReply,
    EntryKind,
    Hello,
    HelloReply,
    JournalEntry,
    Peers,
    QuorumMember,
    VoteReply,
    VoteRequest,
)
from sapphireway_state import (
    Journal,
    JournalLimits,
    Recovered,
    VoteRecord,
    recover_as_sole_voter,
    save_vote,
)
from sapphireway_transport import DiskFailed
from sapphireway_transport.memory import MemoryDisk, run_paused

LONG_WAIT_S = 120.0


async def start_cluster(size, **kwargs):
    cluster = Cluster(size, **kwargs)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    return cluster


async def propose_many(cluster, count, prefix="x"):
    client = cluster.open_client()
    commands = [f"{prefix}{i}".encode() for i in range(count)]
    for command in commands:
        assert isinstance(await client.propose(command, 30.0), Committed)
    return commands


async def read_commands(cluster):
    answer = await cluster.open_client().read(b"", 15.0)
    assert isinstance(answer, ReadResult), answer
    return msgspec.msgpack.decode(answer.data, type=list[bytes])


def lose_disk(cluster, address):
    cluster.crash(address)
    cluster.hosts[address].disk = MemoryDisk(cluster.sync_delay_s)


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7])
def test_empty_hosts_form_one_cluster(size):
    async def run():
        cluster = await start_cluster(size)
        await propose_many(cluster, 3)
        return {q.get_status().cluster_id for q in cluster.running()}

    assert len(run_paused(run())) == 1


def test_bootstrap_waits_for_every_host():
    async def run():
        cluster = Cluster(3)
        await cluster.start("c0", "c1")
        await asyncio.sleep(60)
        assert cluster.leader() is None
        assert cluster.status("c0").detail == "bootstrap is waiting for c2"
        await cluster.start("c2")
        await cluster.wait_until(cluster.is_healthy)

    run_paused(run())


@pytest.mark.parametrize("boundary", range(22))
@pytest.mark.parametrize("address", ["c0", "c1"])
def test_bootstrap_with_crash_forms_one_cluster(address, boundary):
    async def run():
        cluster = Cluster(3, seed=boundary)
        cluster.hosts[address].disk.cut_at = boundary
        await cluster.start()
        await asyncio.sleep(5)
        await cluster.restart(address)
        await cluster.wait_until(cluster.is_healthy)
        await propose_many(cluster, 2)
        assert len({q.get_status().cluster_id for q in cluster.running()}) == 1

    run_paused(run())


def test_empty_hosts_never_bootstrap_second_cluster():
    async def run():
        cluster = await start_cluster(3)
        await propose_many(cluster, 3)
        cluster.crash("c1")
        lose_disk(cluster, "c0")
        lose_disk(cluster, "c2")
        await cluster.start("c0", "c2")
        await asyncio.sleep(LONG_WAIT_S)
        assert cluster.leader() is None
        assert cluster.status("c0").cluster_id == ""
        await cluster.start("c1")
        await asyncio.sleep(60)
        assert cluster.leader() is None

    run_paused(run())


def test_isolated_leader_refuses_commands_and_reads():
    async def run():
        cluster = await start_cluster(3)
        await propose_many(cluster, 2)
        old = cluster.leader()
        quorum = cluster.hosts[old].quorum
        cluster.isolate(old)
        outcomes = await asyncio.gather(quorum.propose(b"lost"), quorum.read_barrier())
        assert [type(outcome) for outcome in outcomes] == [Unavailable, Unavailable]
        assert outcomes[0].maybe_applied
        for _ in range(10):
            await asyncio.sleep(LONG_WAIT_S / 10)
            assert await quorum.propose(b"no") == NotLeader(None)
            assert await quorum.read_barrier() == NotLeader(None)
        cluster.open_client()
        commands = await propose_many(cluster, 3, "y")
        before = cluster.status(cluster.leader())
        cluster.network.heal_all()
        await asyncio.sleep(10)
        after = cluster.status(cluster.leader())
        assert (after.leader, after.term) == (before.leader, before.term)
        assert cluster.status(old).commit_index == after.commit_index
        cluster.check()
        assert cluster.hosts[old].machine.commands == [b"x0", b"x1", *commands]
        assert set(commands) < set(await read_commands(cluster))

    run_paused(run())


def test_isolated_leader_steps_down_within_election_timeout():
    async def run():
        cluster = await start_cluster(3)
        old = cluster.leader()
        cluster.isolate(old)
        settings = cluster.settings
        await asyncio.sleep(settings.election_min_s + 2 * settings.heartbeat_s)
        assert cluster.status(old).role != Role.LEADER

    run_paused(run())


def test_isolated_follower_rejoins_without_election():
    async def run():
        cluster = await start_cluster(3)
        before = cluster.status(cluster.leader())
        follower = next(a for a in cluster.addresses if a != before.leader)
        cluster.isolate(follower)
        await asyncio.sleep(LONG_WAIT_S)
        cluster.network.heal_all()
        await asyncio.sleep(10)
        after = cluster.status(cluster.leader())
        assert (after.leader, after.term) == (before.leader, before.term)
        assert cluster.status(follower).term == before.term

    run_paused(run())


def test_follower_cut_off_from_leader_causes_no_election():
    async def run():
        cluster = await start_cluster(3)
        before = cluster.status(cluster.leader())
        follower = next(a for a in cluster.addresses if a != before.leader)
        cluster.network.cut(before.leader, follower)
        await asyncio.sleep(LONG_WAIT_S)
        after = cluster.status(cluster.leader())
        assert (after.leader, after.term) == (before.leader, before.term)

    run_paused(run())


def test_earlier_term_entries_not_committed_by_counting_replicas():
    async def run():
        cluster = Cluster(3)
        members = [QuorumMember(a, a, True) for a in cluster.addresses]
        disk = cluster.hosts["c0"].disk
        vote = VoteRecord("c0", 1, "cluster", members, term=2)
        await save_vote(disk, vote)
        journal = Journal(disk, JournalLimits())
        await journal.append(1, [JournalEntry(2, EntryKind.COMMAND, b"old")])

        def answer(peers, sender, envelope):
            message = envelope.message
            own = peers.address
            replies = {
                Hello: HelloReply("cluster", own, False, [], members),
                VoteRequest: VoteReply(message.term, True, own)
                if isinstance(message, VoteRequest)
                else None,
                # The other members acknowledge the entry of the earlier term only.
                Append: AppendReply(message.term, own, True, 1)
                if isinstance(message, Append)
                else None,
            }
            peers.reply(sender, envelope, replies[type(message)])

        for address in ("c1", "c2"):
            peers = Peers(cluster.network.open_endpoint(address), address)
            for message_type in (Hello, VoteRequest, Append):
                peers.handle(message_type, partial(answer, peers))
            peers.start()
        await cluster.start("c0")
        await asyncio.sleep(4)
        assert cluster.status("c0").role == Role.LEADER
        assert cluster.status("c0").last_index == 2
        assert cluster.status("c0").commit_index == 0

    run_paused(run())


def test_lagging_learner_is_not_promoted():
    async def run():
        cluster = await start_cluster(3)
        await propose_many(cluster, 5)
        lost = next(a for a in cluster.addresses if a != cluster.leader())
        lose_disk(cluster, lost)
        await cluster.start(lost)
        await cluster.wait_until(
            lambda: cluster.status(cluster.leader()).learners, poll_s=0.001
        )
        cluster.isolate(lost)
        await asyncio.sleep(60)
        status = cluster.status(cluster.leader())
        assert [m.address for m in status.learners] == [lost]
        assert cluster.status(lost).disk_id not in {m.disk_id for m in status.voters}

    run_paused(run())


def test_status_shows_no_uncommitted_promotion():
    async def run():
        cluster = await start_cluster(3)
        leader = cluster.leader()
        lost = next(a for a in cluster.addresses if a != leader)
        lose_disk(cluster, lost)
        await cluster.start(lost)
        replica = cluster.hosts[leader].quorum._replica
        before = replica.voters
        await cluster.wait_until(lambda: len(replica.voters) == 2, poll_s=0.001)
        await cluster.wait_until(lambda: len(replica.voters) == 3, poll_s=0.001)
        assert replica.voters != before
        cluster.isolate(leader)
        await asyncio.sleep(60)
        assert len(cluster.status(leader).voters) == 2

    run_paused(run())


@pytest.mark.parametrize("seed", range(4))
def test_disk_loss_right_after_repair_keeps_commands(seed):
    async def run():
        cluster = await start_cluster(3, seed=seed)
        commands = await propose_many(cluster, 40)
        for address in random.Random(seed).sample(cluster.addresses, 3):
            lose_disk(cluster, address)
            await cluster.start(address)
            await cluster.wait_until(cluster.is_healthy)
        assert await read_commands(cluster) == commands

    run_paused(run())


def test_host_with_empty_disk_is_nonvoting_learner():
    async def run():
        cluster = await start_cluster(3)
        await propose_many(cluster, 5)
        leader = cluster.leader()
        lost, other = [a for a in cluster.addresses if a != leader]
        old_disk_id = cluster.status(lost).disk_id
        cluster.network.cut(leader, lost)
        cluster.network.cut(other, lost)
        lose_disk(cluster, lost)
        cluster.crash(leader)
        await cluster.start(lost)
        cluster.network.heal_all()
        await asyncio.sleep(60)
        assert cluster.leader() is None
        assert cluster.status(lost).role == Role.LEARNER
        assert cluster.status(lost).disk_id != old_disk_id
        await cluster.start(leader)
        await cluster.wait_until(cluster.is_healthy)

    run_paused(run())


@pytest.mark.parametrize("count_before_backup", [0, 20])
def test_stale_disk_gets_new_identity(count_before_backup):
    async def run():
        cluster = await start_cluster(3)
        commands = await propose_many(cluster, count_before_backup)
        address = next(a for a in cluster.addresses if a != cluster.leader())
        old_disk_id = cluster.status(address).disk_id
        backup = cluster.hosts[address].disk.copy()
        commands += await propose_many(cluster, 5, "y")
        await cluster.restart(address, disk=backup)
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.status(address).disk_id != old_disk_id
        assert await read_commands(cluster) == commands

    run_paused(run())


def test_stale_disk_detected_by_start_count():
    async def run():
        cluster = await start_cluster(3)
        address = next(a for a in cluster.addresses if a != cluster.leader())
        old_disk_id = cluster.status(address).disk_id
        backup = cluster.hosts[address].disk.copy()
        # No entry is appended meanwhile, and the restarts clear the acked positions
        # of the other hosts, so only the start count tells the disk is stale.
        for other in [address, *cluster.addresses]:
            await cluster.restart(other)
            await asyncio.sleep(5)
        for other in cluster.addresses:
            cluster.crash(other)
        cluster.hosts[address].disk = backup
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.status(address).disk_id != old_disk_id

    run_paused(run())


def test_stale_disk_of_empty_learner_gets_new_identity():
    async def run():
        cluster = await start_cluster(3)
        lost = next(a for a in cluster.addresses if a != cluster.leader())
        lose_disk(cluster, lost)
        await cluster.start(lost)
        await cluster.wait_until(lambda: cluster.status(lost).cluster_id, poll_s=0.001)
        assert cluster.status(lost).last_index == 0
        old_disk_id = cluster.status(lost).disk_id
        backup = cluster.hosts[lost].disk.copy()
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.status(lost).disk_id == old_disk_id
        commands = await propose_many(cluster, 5)
        await cluster.restart(lost, disk=backup)
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.status(lost).disk_id != old_disk_id
        assert await read_commands(cluster) == commands

    run_paused(run())


def test_recovery_from_single_surviving_disk():
    async def run():
        cluster = await start_cluster(3)
        commands = await propose_many(cluster, 40)
        survivor = cluster.leader()
        for address in cluster.addresses:
            if address != survivor:
                lose_disk(cluster, address)
        cluster.crash(survivor)
        disk = cluster.hosts[survivor].disk
        outcome = await recover_as_sole_voter(
            disk, survivor, cluster.addresses, cluster.rng, cluster.settings.limits
        )
        assert isinstance(outcome, Recovered)
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        assert await read_commands(cluster) == commands

    run_paused(run())


def break_disk(cluster, address, fault):
    disk = cluster.hosts[address].disk
    if fault == "full":
        disk.capacity_bytes = 0
    elif fault == "fsync":
        disk.sync_fails = True
    elif fault == "unreadable":
        disk.unreadable = True
    else:
        disk.corrupt("vote", 20)


@pytest.mark.parametrize("fault", ["full", "fsync", "unreadable", "damaged"])
def test_host_with_failing_disk_stops_voting_and_reports_it(fault):
    async def run():
        cluster = await start_cluster(3)
        commands = await propose_many(cluster, 5)
        address = cluster.leader()
        break_disk(cluster, address, fault)
        if fault in ("unreadable", "damaged"):
            disk = cluster.hosts[address].disk
            cluster.crash(address)
            cluster.hosts[address].disk = disk
            disk.cut_at = None
            await cluster.start(address)
        commands += await propose_many(cluster, 5, "y")
        await asyncio.sleep(5)
        status = cluster.status(address)
        assert status.role != Role.LEADER
        assert status.disk != "ok"
        assert await cluster.hosts[address].quorum.propose(b"z") == Unavailable(
            status.disk
        )
        others = [a for a in cluster.addresses if a != address]
        cluster.crash(others[0])
        await asyncio.sleep(30)
        assert cluster.leader() is None, "the host with the failing disk voted"
        await cluster.start(others[0])
        assert await read_commands(cluster) == commands

    run_paused(run())


def test_failed_disk_is_reported_with_its_operation():
    # Guards against a host that stops participating without a line in its log.
    async def run():
        cluster = await start_cluster(3)
        address = cluster.leader()
        break_disk(cluster, address, "full")
        await propose_many(cluster, 1)
        first = cluster.list_events(address, DiskFailureSeen)[0]
        assert (first.operation, first.role) == ("append", Role.LEADER)
        assert first.name.startswith("journal-")

    run_paused(run())


def heal_disk(cluster, address):
    disk = cluster.hosts[address].disk
    disk.capacity_bytes = None
    disk.sync_fails = disk.unreadable = False


@pytest.mark.parametrize("fault", ["full", "fsync"])
def test_disks_that_fail_in_turn_end_no_quorum(fault):
    # Guards against hosts that stay out after a passing fault of their disks.
    async def run():
        cluster = await start_cluster(5)
        commands = await propose_many(cluster, 3)
        for turn in range(8):
            address = cluster.addresses[turn % 5] if turn else cluster.leader()
            break_disk(cluster, address, fault)
            commands += await propose_many(cluster, 2, f"during{turn}-")
            await asyncio.sleep(3)
            heal_disk(cluster, address)
            await asyncio.sleep(4)
            assert cluster.status(address).disk == "ok"
        await cluster.wait_until(cluster.is_healthy)
        assert await read_commands(cluster) == commands

    run_paused(run())


@pytest.mark.parametrize("fault", ["full", "fsync"])
def test_disks_that_fail_together_end_no_quorum(fault):
    # Guards against hosts that stay out after a passing fault of their disks.
    async def run():
        cluster = await start_cluster(3)
        commands = await propose_many(cluster, 3)
        for address in cluster.addresses:
            break_disk(cluster, address, fault)
        outcome = await cluster.open_client().propose(b"refused", 3.0)
        assert isinstance(outcome, Unavailable)
        await asyncio.sleep(60)
        assert cluster.leader() is None
        for address in cluster.addresses:
            heal_disk(cluster, address)
        await asyncio.sleep(6)
        commands += await propose_many(cluster, 2, "after")
        await cluster.wait_until(cluster.is_healthy)
        read = [c for c in await read_commands(cluster) if c != b"refused"]
        assert read == commands

    run_paused(run())


@pytest.mark.parametrize("fault", ["full", "fsync", "unreadable"])
def test_host_that_starts_on_a_failing_disk_joins_once_it_works(fault):
    # Guards against a start that gives up at the first refused operation.
    async def run():
        cluster = await start_cluster(3)
        address = cluster.leader()
        cluster.crash(address)
        break_disk(cluster, address, fault)
        commands = await propose_many(cluster, 2)
        await cluster.start(address)
        await asyncio.sleep(20)
        assert cluster.status(address).disk != "ok"
        heal_disk(cluster, address)
        await cluster.wait_until(cluster.is_healthy, 10.0)
        assert await read_commands(cluster) == commands

    run_paused(run())


def test_slow_fsync_keeps_leader():
    async def run():
        cluster = await start_cluster(3)
        before = cluster.status(cluster.leader())
        for host in cluster.hosts.values():
            host.disk.sync_delay_s = 1.5
        await propose_many(cluster, 2)
        after = cluster.status(cluster.leader())
        assert (after.leader, after.term) == (before.leader, before.term)

    run_paused(run())


def test_added_host_becomes_a_voter():
    async def run():
        cluster = await start_cluster(3)
        commands = await propose_many(cluster, 40)
        await cluster.start("c3", bootstrap=False)
        await asyncio.sleep(20)
        assert cluster.status("c3").detail.startswith("c3 is not a control host")
        leader = cluster.hosts[cluster.leader()].quorum
        assert isinstance(await leader.change_members(add=["c3"]), Committed)
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.hosts["c3"].machine.commands == commands

    run_paused(run())


def test_disk_at_other_address_reports_registered_address():
    async def run():
        cluster = await start_cluster(3)
        moved = next(a for a in cluster.addresses if a != cluster.leader())
        cluster.crash(moved)
        disk = cluster.hosts.pop(moved).disk
        await cluster.start("c9")
        cluster.crash("c9")
        await cluster.restart("c9", disk=disk)
        await asyncio.sleep(20)
        expected = f"this disk is a member at {moved}; start it there"
        assert cluster.status("c9").detail == expected

    run_paused(run())


def test_removed_leader_steps_down_and_causes_no_election():
    async def run():
        cluster = await start_cluster(5)
        old = cluster.leader()
        outcome = await cluster.hosts[old].quorum.change_members(remove=[old])
        assert isinstance(outcome, Committed)
        await asyncio.sleep(5)
        before = cluster.status(cluster.leader())
        assert len(before.voters) == 4
        await asyncio.sleep(60)
        after = cluster.status(cluster.leader())
        assert (after.leader, after.term) == (before.leader, before.term)

    run_paused(run())


def test_removal_without_reachable_quorum_is_refused():
    async def run():
        cluster = await start_cluster(3)
        leader, crashed, other = sorted(
            cluster.addresses, key=lambda a: a != cluster.leader()
        )
        cluster.crash(crashed)
        await asyncio.sleep(2)
        quorum = cluster.hosts[leader].quorum
        refused = await quorum.change_members(remove=[other])
        assert refused == Unavailable(f"without {other} no quorum would be reachable")
        accepted = await quorum.change_members(remove=[crashed])
        assert isinstance(accepted, Committed)

    run_paused(run())


def test_removal_given_up_by_its_caller_is_not_replaced_by_another():
    """Two removals under way at once would change two voters in one step."""

    async def run():
        cluster = await start_cluster(5)
        leader = cluster.leader()
        first, second = sorted(set(cluster.addresses) - {leader})[:2]
        quorum = cluster.hosts[leader].quorum
        cluster.hosts[leader].disk.sync_delay_s = 2.0
        outcomes = [asyncio.create_task(quorum.propose(b"slow"))]
        await asyncio.sleep(0.1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await quorum.change_members(remove=[first])
        outcomes.append(asyncio.create_task(quorum.change_members(remove=[second])))
        await asyncio.gather(*outcomes)
        return {v.address for v in cluster.status(leader).voters}, {first, second}

    voters, removed = run_paused(run())
    assert len(voters) == 3
    assert not voters & removed


def test_removal_waits_for_one_under_way():
    """Members computed before the wait would change two voters and stop the host."""

    async def run():
        cluster = await start_cluster(5)
        leader = cluster.leader()
        quorum = cluster.hosts[leader].quorum
        removed = sorted(set(cluster.addresses) - {leader})[:2]
        changes = (quorum.change_members(remove=[address]) for address in removed)
        outcomes = await asyncio.gather(*changes)
        cluster.check()
        assert all(isinstance(outcome, Committed) for outcome in outcomes)
        return {v.address for v in cluster.status(leader).voters}, {*removed}

    voters, removed = run_paused(run())
    assert len(voters) == 3
    assert not voters & removed


def test_read_barrier_requires_confirmation_after_request():
    async def run():
        cluster = await start_cluster(3)
        leader = cluster.leader()
        quorum = cluster.hosts[leader].quorum
        assert isinstance(await quorum.read_barrier(), Current)
        cluster.isolate(leader)
        # The leader has not stepped down yet, but no quorum confirms its term.
        assert isinstance(await quorum.read_barrier(), Unavailable)

    run_paused(run())


def test_messages_of_other_clusters_are_ignored():
    async def run():
        cluster = await start_cluster(3)
        leader = cluster.leader()
        peers = cluster.hosts[leader].peers
        before = cluster.status(leader)
        leader_disk_id = before.disk_id
        foreign_peers = cluster.open_client()._peers
        vote = VoteRequest("other", 99, "d", leader_disk_id, 99, 99, False)
        assert await foreign_peers.request(peers.address, vote, 1.0) is None
        append = Append("other", 99, "d", leader_disk_id, 0, 0, 0)
        assert await foreign_peers.request(peers.address, append, 1.0) is None
        assert cluster.status(leader).term == before.term

    run_paused(run())


@pytest.mark.parametrize("size", [3, 7])
def test_idle_cluster_sends_few_messages(size):
    async def run():
        cluster = await start_cluster(size)
        await propose_many(cluster, 1)
        await asyncio.sleep(5)
        network = cluster.network
        before = (network.messages_sent, network.bytes_sent)
        await asyncio.sleep(40)
        return (network.messages_sent - before[0], network.bytes_sent - before[1])

    messages, sent_bytes = run_paused(run())
    # Four heartbeats a second to each other host, each with a reply.
    assert messages / 40 <= 2 * 4 * (size - 1) + 1
    assert sent_bytes / 40 <= 100 * 2 * 4 * (size - 1)


@pytest.mark.parametrize("boundary", range(12, 140))
def test_power_cut_at_every_boundary_keeps_acked_commands(boundary):
    async def run():
        cluster = await start_cluster(1, seed=boundary)
        disk = cluster.hosts["c0"].disk
        disk.cut_at = disk.boundaries + boundary
        quorum = cluster.hosts["c0"].quorum
        acked = []
        for number in range(60):
            command = b"%d" % number
            proposing = asyncio.create_task(quorum.propose(command))
            await asyncio.wait([proposing], timeout=1.0)
            if not proposing.done() or not isinstance(proposing.result(), Committed):
                break
            acked.append(command)
        await cluster.restart("c0")
        await cluster.wait_until(cluster.is_healthy)
        commands = await read_commands(cluster)
        assert commands in (acked, [*acked, command])

    run_paused(run())


def test_copies_of_an_open_command_are_committed_once():
    # Guards against a large command that fills the links with its own copies.
    async def run():
        cluster = await start_cluster(3)
        leader = cluster.leader()
        quorum = cluster.hosts[leader].quorum
        before = cluster.status(leader).last_index
        cancelled = asyncio.ensure_future(quorum.propose(b"a"))
        copies = [asyncio.ensure_future(quorum.propose(b"a")) for _ in range(3)]
        await asyncio.sleep(0)
        cancelled.cancel()
        outcomes = await asyncio.gather(*copies)
        assert all(outcome == Committed(before + 1, b"0") for outcome in outcomes)
        assert cluster.status(leader).last_index == before + 1
        assert (await quorum.propose(b"a")).index == before + 2

    run_paused(run())


@pytest.mark.parametrize("lost", list(itertools.combinations(range(3), 2)), ids=str)
def test_two_lost_disks_beside_a_power_loss_of_all_keep_acked_commands(lost):
    # Guards against an acknowledgement before enough disks hold the command.
    async def run():
        cluster = await start_cluster(5, seed=sum(lost))
        leader = cluster.leader()
        fast, slow, *cut_off = (a for a in cluster.addresses if a != leader)
        for address in cut_off:
            cluster.isolate(address)
        cluster.hosts[slow].disk.sync_delay_s = 0.2
        commands = await propose_many(cluster, 3)
        holders = (leader, fast, slow)
        for address in cluster.addresses:
            if address in [holders[number] for number in lost]:
                lose_disk(cluster, address)
            cluster.crash(address)
        cluster.network.heal_all()
        await cluster.start(bootstrap=False)
        assert await read_commands(cluster) == commands
        await cluster.wait_until(cluster.is_healthy, LONG_WAIT_S)

    run_paused(run())


class RenamedVoteDisk(MemoryDisk):
    """Reports a failure of one vote record after the new content is in place."""

    armed = False

    async def replace(self, name, data):
        failure = await super().replace(name, data)
        if self.armed and name == "vote" and failure is None:
            self.armed = False
            return DiskFailed("replace", name, "input/output error")
        return failure


@pytest.mark.parametrize("seed", range(4))
def test_term_found_on_a_reopened_disk_has_no_leader_of_an_earlier_term(seed):
    async def run():
        cluster = Cluster(5, seed)
        for host in cluster.hosts.values():
            host.disk = RenamedVoteDisk(0.002)
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        leader = cluster.leader()
        failing = next(a for a in cluster.addresses if a != leader)
        cluster.hosts[failing].disk.armed = True
        cluster.crash(leader)
        await asyncio.sleep(20.0)
        await cluster.start(leader)
        await cluster.wait_until(cluster.is_healthy)
        assert cluster.hosts[failing].quorum.failure is None
        cluster.check()

    run_paused(run())


@pytest.mark.parametrize("frozen_s", [2.5, 4.0, 30.0])
@pytest.mark.parametrize("size", [4, 6])
def test_leader_removes_no_voters_after_a_stall(size, frozen_s):
    """They could not answer as this host itself stalled."""

    async def run():
        settings = msgspec.structs.replace(SETTINGS, silent_voter_timeout_s=2.0)
        cluster = await start_cluster(size, settings=settings)
        await asyncio.sleep(1.0)
        for _ in range(3):
            asyncio.get_running_loop().advance(frozen_s)
            await asyncio.sleep(4.0)
        assert not [e for _, e in cluster.events if type(e) is MembersProposed]
        assert len(cluster.status(cluster.leader()).voters) == size

    run_paused(run())


@pytest.mark.parametrize("removed_count", [1, 2])
def test_change_that_waited_does_not_undo_the_one_before(removed_count):
    """An accepted addition or removal was lost, or the leader stopped itself."""

    async def run():
        cluster = await start_cluster(5)
        leader = cluster.leader()
        quorum = cluster.hosts[leader].quorum
        followers = [a for a in cluster.addresses if a != leader]
        removals = [
            quorum.change_members(remove=[a]) for a in followers[:removed_count]
        ]
        outcomes = await asyncio.gather(quorum.change_members(add=["c9"]), *removals)
        assert all(isinstance(outcome, Committed) for outcome in outcomes)
        status = cluster.status(leader)
        voters = {member.address for member in status.voters}
        assert voters == {leader, *followers[removed_count:]}
        assert [member.address for member in status.learners] == ["c9"]

    run_paused(run())
