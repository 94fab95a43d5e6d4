"""Transfer of claims from the holders of the previous epoch."""

import asyncio
import random
from collections.abc import Iterable

from sapphireway_protocol import (
    ClaimGroup,
    ClaimPage,
    ClaimPull,
    GroupHolder,
    Peers,
)
from sapphireway_state import ClaimTable

PULL_TIMEOUT_S = 0.5
PULL_RETRY_S = 0.05


async def pull_claims(
    peers: Peers,
    group: ClaimGroup,
    merged: Iterable[GroupHolder],
    table: ClaimTable,
    rng: random.Random,
) -> float:
    """Merge the tables of a majority of the previous holders.

    A holder that is pulled from seals its epoch: it grants nothing in it any more.

    Parameters
    ----------
    peers : Peers
    group : ClaimGroup
        Group of the new epoch.
    merged : iterable of GroupHolder
        Previous holders whose claims are in `table` already.
    table : ClaimTable
    rng : random.Random

    Returns
    -------
    float
        Loop time until which a missing key is not proof that it was never claimed.
    """
    done = set(merged)
    unsure_until_s = 0.0
    majority = len(group.previous) // 2 + 1
    while len(done) < majority:
        sources = [holder for holder in group.previous if holder not in done]
        pulls = (_pull_table(peers, group, source, table) for source in sources)
        results = await asyncio.gather(*pulls)
        for source, until_s in zip(sources, results, strict=True):
            if until_s is not None:
                done.add(source)
                unsure_until_s = max(unsure_until_s, until_s)
        if len(done) < majority:
            await asyncio.sleep(PULL_RETRY_S * (1 + rng.random()))
    return unsure_until_s


async def _pull_table(peers, group, source, table):
    """Merge one holder's pages; return None if it did not send all of them."""
    after = 0
    while True:
        request = ClaimPull(group.name, group.epoch, source.incarnation, after)
        reply = await peers.request(source.node, request, PULL_TIMEOUT_S)
        if reply is None or reply.incarnation != source.incarnation:
            return None
        page = reply.message
        if not isinstance(page, ClaimPage) or not page.ready:
            return None
        now_s = asyncio.get_running_loop().time()
        table.merge(now_s, page.entries)
        if not page.has_more:
            return now_s + page.unsure_in_s
        after = page.last_serial
