"""Deliberately broken variants of claims, to show that the checks detect them."""

from sapphireway_coordination import ClaimHolder
from sapphireway_coordination.claims import _claimant
from sapphireway_protocol import ClaimGroup, NotRun, NotRunReason
from sapphireway_state import ClaimTable


def run_on_one_vote(monkeypatch):
    monkeypatch.setattr(ClaimGroup, "majority", property(lambda group: 1))


def take_over_nothing(monkeypatch):
    async def pull_majority(holder, replica, group):
        pass

    monkeypatch.setattr(ClaimHolder, "_pull_majority", pull_majority)


def leave_old_epoch_open(monkeypatch):
    handle_pull = ClaimHolder._handle_pull

    def handle_and_unseal(holder, sender, envelope):
        handle_pull(holder, sender, envelope)
        replica = holder._replicas.get(envelope.message.group_name)
        if replica is not None and replica.active_epoch == replica.group.epoch:
            replica.sealed = False

    monkeypatch.setattr(ClaimHolder, "_handle_pull", handle_and_unseal)


def release_without_fence(monkeypatch):
    release = ClaimTable.release

    def release_only(table, *args, keep_s, fence):
        return release(table, *args, keep_s=keep_s, fence=False)

    monkeypatch.setattr(ClaimTable, "release", release_only)


def refuse_when_held(monkeypatch):
    monkeypatch.setattr(
        _claimant, "Unknown", lambda detail: NotRun(NotRunReason.CLAIM_CONFLICT)
    )


def ignore_rounds(monkeypatch):
    release = ClaimTable.release

    def release_any(table, now_s, key, claim, round_, **options):
        return release(table, now_s, key, claim, 10**9, **options)

    monkeypatch.setattr(ClaimTable, "release", release_any)


def forget_outcomes(monkeypatch):
    record = ClaimTable.record

    def record_and_expire(table, now_s, key, digest, claim, outcome, ttl_s):
        record(table, now_s, key, digest, claim, outcome, 0.0)
        table._schedule_expiry(key, table._entries[key], now_s)

    monkeypatch.setattr(ClaimTable, "record", record_and_expire)


BROKEN_VARIANTS = (
    run_on_one_vote,
    take_over_nothing,
    release_without_fence,
    refuse_when_held,
    forget_outcomes,
)
