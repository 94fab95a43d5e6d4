import subprocess
import sys

import pytest

RUN = """
import sys
from sapphireway import _cli, _main
_main.run_process = lambda file: print(file, *sys.modules, sep="\\n")
sys.argv = ["sapphireway", "run", "node.yaml"]
_cli.main()
"""
UNNEEDED_MODULES = {"defopt", "docutils", "opentelemetry", "pygments", "zmq.asyncio"}


def test_run_command_imports_no_parser_and_no_tracer():
    completed = subprocess.run(
        [sys.executable, "-c", RUN], capture_output=True, text=True, check=True
    )
    file, *modules = completed.stdout.split()
    assert file == "node.yaml"
    assert UNNEEDED_MODULES.isdisjoint(modules)


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["--help"], 0, "run"),
        (["run", "--help"], 0, "settings in YAML"),
        (["run"], 2, "file"),
        (["run", "missing.yaml"], 2, "missing.yaml"),
        (["run", "missing.yaml", "other"], 2, "other"),
    ],
)
def test_command_line_exit_status_and_output(arguments, status, text):
    command = [sys.executable, "-m", "sapphireway", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    assert completed.returncode == status
    assert text in completed.stdout + completed.stderr
