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
CONCERNS = {
    "membership": set(),
    "quorum": set(),
    "suspects": set(),
    "routing": {"membership"},
    "claims": {"membership", "routing"},
    "gate": {"routing", "suspects"},
    "settings": {"claims", "membership", "quorum"},
}
COORDINATION = ROOT / "packages/sapphireway-coordination/src/sapphireway_coordination"


def list_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names)


def list_imports(path):
    return (module.split(".")[0] for module in list_modules(path))


@pytest.mark.parametrize("package", ALLOWED)
def test_imports_point_down(package):
    sources = list(ROOT.glob(f"packages/*/src/{package}/**/*.py"))
    assert sources
    for source in sources:
        ours = {name for name in list_imports(source) if name.startswith("sapphire")}
        assert ours <= ALLOWED[package], f"{source} imports a layer above its own"


def test_every_concern_of_coordination_has_its_place():
    found = {path.parent.name for path in COORDINATION.glob("*/__init__.py")}
    assert found == set(CONCERNS)
    assert [path.name for path in COORDINATION.glob("*.py")] == ["__init__.py"]


@pytest.mark.parametrize("concern", CONCERNS)
def test_concerns_use_the_public_face_of_those_below(concern):
    prefix = COORDINATION.name + "."
    for source in (COORDINATION / concern).glob("*.py"):
        for module in list_modules(source):
            if not module.startswith(prefix):
                continue
            used, *private = module.removeprefix(prefix).split(".")
            if used != concern:
                assert used in CONCERNS[concern], f"{source} imports {used}"
                assert not private, f"{source} imports a private module of {used}"
