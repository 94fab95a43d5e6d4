"""Where a control host keeps its journal, and how large it may grow."""

from pathlib import Path

from sapphireway_state import JournalLimits, ProcessSettings
from sapphireway_transport import FileDisk

JOURNAL_FOLDER = "journal"


def get_journal_folder(settings: ProcessSettings) -> Path:
    """Return the folder of the journal."""
    return Path(settings.data_folder) / JOURNAL_FOLDER


def make_journal_disk(settings: ProcessSettings) -> FileDisk:
    """Return the data folder of the journal; its first use locks it."""
    return FileDisk(get_journal_folder(settings))


def make_journal_limits(settings: ProcessSettings) -> JournalLimits:
    """Return the sizes that the settings allow."""
    return JournalLimits(
        segment_bytes=settings.journal_segment_bytes,
        compact_bytes=settings.journal_compact_bytes,
        journal_max_bytes=settings.journal_max_bytes,
    )
