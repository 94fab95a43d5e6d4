"""Generates docs/operate/read-a-refusal.md: invalid settings and their errors."""

from pathlib import Path

from sapphireway_state import (
    Document,
    Invalid,
    ProcessSettings,
    format_problem,
    parse_process_settings,
    parse_tree,
)

PAGE = Path(__file__).parent.parent / "docs" / "operate" / "read-a-refusal.md"
ALLOWED_MAX_CHARS = 70

INTRODUCTION = """\
# Read a refusal

`sapphireway check FILE`, a node that starts and `sapphirectl settings edit` tell
everything that is wrong with a file, a line each:

    file:line: path in the tree: what is wrong; allowed: what is allowed

A file with any problem changes nothing. Examples; what is allowed is shortened here.
This page is written by `python -m tools.refusals`; a test checks that it is current.
"""

INVALID_TREES = {
    "Unknown key": "weigth: 5",
    "Wrong type": "weight: heavy",
    "A unit in the value": "deadline_ms: 2s",
    "Out of bounds": "services:\n  ledger:\n    weight: 101",
    "Wrong level": "services:\n  ledger:\n    out: true",
    "Duplicate key": "weight: 1\ndeadline_ms: 5\nweight: 2",
    "Loop of aliases": "domains: &all\n  bxl-a: *all",
    "A word that YAML reads as a boolean": "domains:\n  no: {}",
    "A date": "weight: 2026-01-01",
    "A tag": "weight: !!binary aGk=",
    "Two documents": "weight: 1\n---\nweight: 2",
    "Undeclared service": "domains:\n  bxl-a:\n    services: {ledgr: {}}",
    "Two kinds for one request": (
        "services:\n  s:\n    kinds:\n"
        "      a: {match: {paths: [/x]}}\n      b: {match: {paths: [/x]}}"
    ),
    "Prefix of two services": (
        "services:\n  a: {match: {path_prefixes: [/x]}}\n"
        "  b: {match: {path_prefixes: [/x/]}}"
    ),
}

VALID_PROCESS_SETTINGS = """\
address: 127.0.0.1:7100
http_address: 127.0.0.1:8080
admin_address: 127.0.0.1:9090
domain: bxl-a
region: be-central
data_folder: data
control_hosts: [127.0.0.1:7100]
"""

INVALID_PROCESS_SETTINGS = {
    "Missing key": VALID_PROCESS_SETTINGS.replace("domain: bxl-a\n", ""),
    "Host name for an IP number": VALID_PROCESS_SETTINGS.replace(
        "127.0.0.1:8", "localhost:8"
    ),
    "One address twice": VALID_PROCESS_SETTINGS.replace(":9090", ":8080"),
    "Control host that is not in its list": VALID_PROCESS_SETTINGS.replace(
        "[127.0.0.1", "[127.0.0.2"
    )
    + "control: true\n",
}


def render_page() -> str:
    """Return the page as Markdown."""
    return "\n".join(
        [
            INTRODUCTION,
            "## The tree\n",
            _render_table(INVALID_TREES, parse_tree, "tree.yaml"),
            "\n## A process's own settings\n",
            _render_table(
                INVALID_PROCESS_SETTINGS, parse_process_settings, "node.yaml"
            ),
            "",
        ]
    )


def _render_table(inputs, parse, file):
    lines = ["| Input | What is told |", "| --- | --- |"]
    for name, text in inputs.items():
        message = _format_first_problem(parse(text, file))
        lines.append(f"| {name} | {message} |")
    return "\n".join(lines)


def _format_first_problem(result: Invalid | Document | ProcessSettings) -> str:
    problem, separator, allowed = format_problem(result.problems[0]).partition(
        "; allowed: "
    )
    if len(allowed) > ALLOWED_MAX_CHARS:
        allowed = allowed[:ALLOWED_MAX_CHARS].rsplit(" ", 1)[0] + " ..."
    return f"`{problem}{separator}{allowed}`"


if __name__ == "__main__":
    PAGE.write_text(render_page())
