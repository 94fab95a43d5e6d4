"""Processes run on a clock that counts suspensions of the host."""

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

import sapphireway._main
import sapphireway_platform._main
from sapphireway_transport import BootTimeLoop


async def get_loop_type(*args):
    return type(asyncio.get_running_loop())


@pytest.mark.parametrize("module", [sapphireway._main, sapphireway_platform._main])
def test_process_counts_suspensions_in_leases_and_deadlines(module, monkeypatch):
    settings = SimpleNamespace(log_format="json", log_level="info", service="")
    settings.process = settings
    monkeypatch.setenv("SAPPHIREWAY_BOOT", "boot.json")
    monkeypatch.setattr(module, "run_node", get_loop_type)
    monkeypatch.setattr(module, "configure_logs", lambda *args: None)
    if module is sapphireway._main:
        monkeypatch.setattr(module, "load_process_settings", lambda file: settings)
        loop_type = module.run_process(Path("node.yaml"))
    else:
        monkeypatch.setattr(module, "load_settings", lambda file, root: settings)
        loop_type = module.main(Path("/"))
    assert loop_type is BootTimeLoop
