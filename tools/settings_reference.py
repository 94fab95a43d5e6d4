"""Generates docs/settings-reference.md from the schema of the settings."""

import re
from pathlib import Path

import msgspec

from sapphireway_state import (
    KIND_MATCH,
    NAME_ALLOWED,
    PROCESS_RULES,
    SERVICE_MATCH,
    SETTINGS,
    ProcessSettings,
    Scope,
)

PAGE = Path(__file__).parent.parent / "docs" / "settings-reference.md"

INTRODUCTION = """\
# Settings reference

This page is generated from the schema by `python -m tools.settings_reference`; a test
checks that it is up to date. `sapphireway check FILE` validates a file with either kind
of settings and reports file, line and path of each problem, what is wrong and what is
allowed.

## Settings tree

The tree is shared by all processes and is changed with `sapphirectl`. Its nodes are the
root, `domains/<name>`, `services/<name>`, `services/<name>/kinds/<name>`,
`domains/<name>/services/<name>`, `domains/<name>/services/<name>/kinds/<name>` and
`servers/<id>`. A name consists of {names}.

If several nodes set a value, the last one in this list takes precedence: root, domain,
service, service below the domain, kind, kind below the domain. A setting that no node
sets has its default value. A setting can be set below a domain only if its *Levels*
include the domain.
"""


MATCHING = """\
These values are set under `match` of a service or kind. A request belongs to the
service that its header `Sapphireway-Service` names; without this header, to the service
with its host, else to the one with the longest matching path prefix. Of the service's
matching kinds, the one with the most specific path is chosen: segment by segment from
the left, a literal takes precedence over `*` and `*` over `**`; for equal paths, a kind
with methods takes precedence over one without. A request that matches no kind has the
kind `other` and the service's settings.
"""


def render_page() -> str:
    """Return the page as Markdown."""
    parts = [
        INTRODUCTION.format(names=NAME_ALLOWED),
        _render_settings(),
        "\n### Request matching\n",
        MATCHING,
        _render_matchers(),
        "\n## Process settings\n",
        _render_process_settings(),
    ]
    return "\n".join(parts)


def _render_settings():
    rows = [
        (
            f"`{setting.name}`",
            setting.rule.allowed,
            _format_default(setting.default),
            ", ".join(scope for scope in Scope if scope in setting.scopes),
            setting.description,
        )
        for setting in SETTINGS.values()
    ]
    return _render_table(
        ("Setting", "Allowed", "Default", "Levels", "Description"), rows
    )


def _render_matchers():
    rows = [
        (f"`{level}/match/{name}`", rule.allowed)
        for level, rules in (
            ("services/<name>", SERVICE_MATCH),
            ("services/<name>/kinds/<name>", KIND_MATCH),
        )
        for name, rule in rules.items()
    ]
    return _render_table(("Path", "Allowed"), rows)


def _render_process_settings():
    descriptions = _parse_descriptions(ProcessSettings.__doc__)
    fields = msgspec.structs.fields(ProcessSettings)
    defaults = {field.name: field.default for field in fields}
    rows = [
        (
            f"`{name}`",
            rule.allowed,
            _format_default(defaults[name]),
            descriptions[name],
        )
        for name, rule in PROCESS_RULES.items()
    ]
    return _render_table(("Setting", "Allowed", "Default", "Description"), rows)


def _parse_descriptions(docstring):
    pattern = r"^    (\w+) : .*\n((?:        .*\n)+)"
    return {
        name: " ".join(lines.split())
        for name, lines in re.findall(pattern, docstring, flags=re.MULTILINE)
    }


def _format_default(default):
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, (int, float, str)):
        return str(default)
    if default is None:
        return "none"
    return "empty" if default == () else "required"


def _render_table(headings, rows):
    lines = [
        "| " + " | ".join(headings) + " |",
        "|" + " --- |" * len(headings),
        *("| " + " | ".join(row) + " |" for row in rows),
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    PAGE.write_text(render_page())
