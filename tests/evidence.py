"""Keeps what a failed run of real processes leaves behind.

A folder of evidence holds the log and the settings of every process, the servers'
record of their runs, and `timeline.jsonl`: injected faults, submissions and answers on
one clock. Its first line relates that clock to the wall clock of the logs.
"""

import hashlib
import json
import os
import shutil
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
FOLDER_VARIABLE = "SAPPHIREWAY_EVIDENCE"
DEFAULT_FOLDER = ROOT / "run" / "evidence"
TIMELINE = "timeline.jsonl"
KEY_DIGEST_CHARS = 16  # as in the nodes' logs
KEPT_PATTERNS = ("*.log", "*.yaml", "*.jsonl")
FOLDERS_MAX = 50


@dataclass(slots=True)
class Timeline:
    """Events of a run; times are monotonic seconds.

    Attributes
    ----------
    events : list of dict
    """

    events: list[dict[str, Any]] = field(default_factory=list)

    def record(self, event: str, at_s: float | None = None, **fields: Any) -> None:
        """Append an event, by default with the current time."""
        at_s = time.monotonic() if at_s is None else at_s
        self.events.append({"at_s": round(at_s, 6), "event": event, **fields})

    def record_results(self, results: Iterable[Any]) -> None:
        """Append the submission and the answer of each result."""
        for result in results:
            fields = {
                "key_digest": digest_key(result.key),
                "path": result.path,
                "entry": result.entry,
            }
            self.record("submitted", result.sent_s, **fields)
            outcome = {"outcome": result.outcome, "reason": result.reason}
            self.record("answered", result.ended_s, **fields, **outcome)

    def write(self, path: Path) -> None:
        """Write the events in the order of their times, one per line."""
        offset_s = time.time() - time.monotonic()
        header = {"event": "clock", "wall_minus_monotonic_s": round(offset_s, 3)}
        events = sorted(self.events, key=lambda event: event["at_s"])
        lines = [json.dumps(event, default=str) for event in (header, *events)]
        path.write_text("\n".join(lines) + "\n")


def digest_key(key: str) -> str:
    """Return the digest by which the nodes' logs name an idempotency key."""
    return hashlib.sha256(key.encode()).hexdigest()[:KEY_DIGEST_CHARS]


def keep_evidence(folder: Path, name: str, timeline: Timeline) -> Path:
    """Copy the records of a failed run and return the folder that holds them.

    Parameters
    ----------
    folder : Path
        Folder of the run: logs, settings and records.
    name : str
        Prefix of the new folder's name.
    timeline : Timeline
    """
    root = Path(os.environ.get(FOLDER_VARIABLE) or DEFAULT_FOLDER)
    stamp = time.strftime("%Y%m%dT%H%M%S")
    root.mkdir(parents=True, exist_ok=True)
    kept = Path(tempfile.mkdtemp(prefix=f"{name}-{stamp}-", dir=root))
    for pattern in KEPT_PATTERNS:
        for path in folder.glob(pattern):
            shutil.copy2(path, kept / path.name)
    timeline.write(kept / TIMELINE)
    _drop_oldest(root)
    return kept


def _drop_oldest(root):
    folders = sorted(root.iterdir(), key=lambda path: path.stat().st_mtime)
    for path in folders[:-FOLDERS_MAX]:
        shutil.rmtree(path)
