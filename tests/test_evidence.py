import json

import pytest

from tests.evidence import (
    FOLDER_VARIABLE,
    FOLDERS_MAX,
    TIMELINE,
    Timeline,
    digest_key,
    keep_evidence,
)
from tests.processes.harness import Result


@pytest.fixture
def run_folder(tmp_path, monkeypatch):
    monkeypatch.setenv(FOLDER_VARIABLE, str(tmp_path / "kept"))
    folder = tmp_path / "run"
    folder.mkdir()
    (folder / "node-a.log").write_text("a line")
    (folder / "node-a.yaml").write_text("address: a")
    return folder


def test_evidence_holds_logs_settings_and_timeline(run_folder):
    timeline = Timeline()
    timeline.record("kill", 3.0, process="node-a")
    result = Result("k", "/p", "n1", "unknown", "cut", b"", 1.0, 4.0)
    timeline.record_results([result])
    kept = keep_evidence(run_folder, "some_test", timeline)
    assert kept.name.startswith("some_test-")
    assert (kept / "node-a.log").read_text() == "a line"
    assert (kept / "node-a.yaml").exists()
    lines = [json.loads(line) for line in (kept / TIMELINE).read_text().splitlines()]
    assert [line["event"] for line in lines] == [
        "clock",
        "submitted",
        "kill",
        "answered",
    ]
    assert lines[1]["key_digest"] == digest_key("k")


def test_number_of_kept_folders_is_bounded(run_folder):
    for _ in range(FOLDERS_MAX + 3):
        kept = keep_evidence(run_folder, "run", Timeline())
    assert kept.exists()
    assert len(list(kept.parent.iterdir())) == FOLDERS_MAX
