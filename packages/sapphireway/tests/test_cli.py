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
UNNEEDED = {"defopt", "docutils", "opentelemetry", "pygments", "zmq.asyncio"}


def test_running_node_loads_no_parser_and_no_tracer():
    ran = subprocess.run(
        [sys.executable, "-c", RUN], capture_output=True, text=True, check=True
    )
    file, *modules = ran.stdout.split()
    assert file == "node.yaml"
    assert UNNEEDED.isdisjoint(modules)


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
def test_command_line_answers(arguments, status, text):
    command = [sys.executable, "-m", "sapphireway", *arguments]
    ran = subprocess.run(command, capture_output=True, text=True, check=False)
    assert ran.returncode == status
    assert text in ran.stdout + ran.stderr
