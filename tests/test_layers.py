"""Packages and subpackages import only from the layers below them."""

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
ALLOWED_IMPORTS = {layer: set(LAYERS[: i + 1]) for i, layer in enumerate(LAYERS)}
ALLOWED_IMPORTS["sapphirectl"] = {
    "sapphireway_transport",
    "sapphireway_protocol",
    "sapphireway_state",
    "sapphirectl",
}
SUBPACKAGES = {
    "departures": set(),
    "membership": set(),
    "quorum": set(),
    "suspects": set(),
    "rollouts": {"membership"},
    "routing": {"membership"},
    "claims": {"membership", "routing"},
    "gate": {"departures", "routing", "suspects"},
    "quotas": {"membership", "quorum"},
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


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_lower_layers(package):
    sources = list(ROOT.glob(f"packages/*/src/{package}/**/*.py"))
    assert sources
    for source in sources:
        project_imports = {
            name for name in list_imports(source) if name.startswith("sapphire")
        }
        assert project_imports <= ALLOWED_IMPORTS[package], (
            f"{source} imports a layer above its own"
        )


def test_coordination_has_only_the_listed_subpackages():
    found = {path.parent.name for path in COORDINATION.glob("*/__init__.py")}
    assert found == set(SUBPACKAGES)
    assert [path.name for path in COORDINATION.glob("*.py")] == ["__init__.py"]


@pytest.mark.parametrize("subpackage", SUBPACKAGES)
def test_subpackage_imports_only_public_names_of_lower_subpackages(subpackage):
    prefix = COORDINATION.name + "."
    for source in (COORDINATION / subpackage).glob("*.py"):
        for module in list_modules(source):
            if not module.startswith(prefix):
                continue
            imported, *private = module.removeprefix(prefix).split(".")
            if imported != subpackage:
                assert imported in SUBPACKAGES[subpackage], (
                    f"{source} imports {imported}"
                )
                assert not private, f"{source} imports a private module of {imported}"
