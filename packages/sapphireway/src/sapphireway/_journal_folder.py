"""Location and size limits of a control host's journal."""

from pathlib import Path

from sapphireway_state import JournalLimits, ProcessSettings
from sapphireway_transport import FileDisk

JOURNAL_FOLDER_NAME = "journal"


def get_journal_folder(settings: ProcessSettings) -> Path:
    """Return the folder of the journal."""
    return Path(settings.data_folder) / JOURNAL_FOLDER_NAME


def make_journal_disk(settings: ProcessSettings) -> FileDisk:
    """Return the disk of the journal's folder; its first use locks the folder."""
    return FileDisk(get_journal_folder(settings))


def make_journal_limits(settings: ProcessSettings) -> JournalLimits:
    """Return the journal's size limits from the settings."""
    return JournalLimits(
        segment_bytes=settings.journal_segment_bytes,
        compact_bytes=settings.journal_compact_bytes,
        journal_max_bytes=settings.journal_max_bytes,
    )
