"""Imports between the packages point one way only."""

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LAYERS = (
    "sapphireway_transport",
    "sapphireway_protocol",
    "sapphireway_state",
    "sapphireway_coordination",
    "sapphireway",
)
ALLOWED = {layer: set(LAYERS[: i + 1]) for i, layer in enumerate(LAYERS)}
ALLOWED["sapphirectl"] = {
    "sapphireway_transport",
    "sapphireway_protocol",
    "sapphireway_state",
    "sapphirectl",
}


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]
        elif isinstance(node, ast.Import):
            yield from (name.name.split(".")[0] for name in node.names)


@pytest.mark.parametrize("package", ALLOWED)
def test_imports_point_down(package):
    sources = list(ROOT.glob(f"packages/*/src/{package}/**/*.py"))
    assert sources
    for source in sources:
        ours = {name for name in list_imports(source) if name.startswith("sapphire")}
        assert ours <= ALLOWED[package], f"{source} imports a layer above its own"
