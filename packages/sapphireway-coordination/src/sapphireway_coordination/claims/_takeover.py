"""Taking over the claims of the epoch before."""

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
    complete: Iterable[GroupHolder],
    table: ClaimTable,
    rng: random.Random,
) -> float:
    """Merge the tables of a majority of the previous holders, which thereby seal.

    Parameters
    ----------
    peers : Peers
    group : ClaimGroup
        Group of the epoch that takes over.
    complete : iterable of GroupHolder
        Previous holders whose claims `table` has already.
    table : ClaimTable
    rng : random.Random

    Returns
    -------
    float
        Reading of the clock until which an absent key proves nothing.
    """
    done = set(complete)
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
    """Merge one holder's pages; None if it could not send all of them."""
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
        if not page.more:
            return now_s + page.unsure_in_s
        after = page.last
