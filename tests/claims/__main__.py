"""Runs claim fleets with faults, seeds FIRST to LAST - 1.

Usage: ``python -m tests.claims FIRST LAST``
"""

import sys
from collections import Counter

from sapphireway_transport.memory import run_paused
from tests.claims.fleet import run_contended, run_fleet

first, last = map(int, sys.argv[1:3])
totals = Counter()
failed = []
for seed in range(first, last):
    fleet, violations = run_paused(run_fleet(seed, loses_majorities=seed % 4 == 0))
    violations += run_paused(run_contended(seed, keys=10))
    for submissions in fleet.submissions.values():
        totals.update(type(s.outcome).__name__ for s in submissions)
    totals["messages"] += fleet.network.messages_sent
    totals["epochs"] += fleet.machine.get_group("ledger").epoch
    totals["keys"] += len(fleet.submissions)
    if violations:
        failed.append(seed)
        print(f"seed {seed}: {violations}")
print(f"{last - first} seeds, {len(failed)} with violations: {dict(totals)}")
sys.exit(bool(failed))
