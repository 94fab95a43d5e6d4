"""A node loads only what its role needs."""

import subprocess
import sys

import pytest

UNNEEDED = (
    "defopt",
    "opentelemetry",
    "sapphireway._control",
    "sapphireway_coordination.quorum._quorum",
    "yaml",
)


@pytest.mark.parametrize("module", ["sapphireway.hosting", "sapphireway_coordination"])
def test_import_loads_no_modules_of_control_hosts_and_tools(module):
    # Each of these modules would lengthen the start of every node.
    code = f"import sys, {module}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    assert set(UNNEEDED) & set(done.stdout.split()) == set()


@pytest.mark.parametrize("package", ["sapphireway_coordination", "sapphireway_state"])
def test_import_of_unknown_name_fails(package):
    done = subprocess.run(
        [sys.executable, "-c", f"from {package} import missing"],
        capture_output=True,
        text=True,
    )
    assert "ImportError: cannot import name 'missing'" in done.stderr
