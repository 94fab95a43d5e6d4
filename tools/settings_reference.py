"""Generates docs/settings-reference.md from the schema of the settings."""

import re
from dataclasses import fields
from pathlib import Path

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

This page is written from the schema by `python -m tools.settings_reference`; a test
checks that it is current. `sapphireway check FILE` checks a file of either kind and
tells file, line, path, what is wrong and what is allowed.

## The tree

The tree is shared by all processes and is changed by `sapphirectl`. Its nodes are the
root, `domains/<name>`, `services/<name>`, `services/<name>/kinds/<name>`,
`domains/<name>/services/<name>`, `domains/<name>/services/<name>/kinds/<name>` and
`servers/<id>`. A name: {names}.

Of the nodes that give a setting, the last of this list wins: root, domain, service,
service below the domain, kind, kind below the domain. A setting that no node gives has
its default. Below a domain a setting may be given only if *Where* names the domain too.
"""


MATCHING = """\
A service gives these below `match`, and so does a kind. A request whose header
`Sapphireway-Service` names a service belongs to it; else its host, else the longest
path prefix decides. Of a service's kinds, the one with the most specific path wins,
segment by segment from the left: a literal before `*` before `**`; of two equal paths,
one with methods before one without. A request that no kind matches has the kind `other`
and gets the service's settings.
"""


def render_page() -> str:
    """Return the page as Markdown."""
    parts = [
        INTRODUCTION.format(names=NAME_ALLOWED),
        _render_settings(),
        "\n### How requests are recognised\n",
        MATCHING,
        _render_matchers(),
        "\n## A process's own settings\n",
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
    return _render_table(("Setting", "Allowed", "Default", "Where", "Meaning"), rows)


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
    defaults = {field.name: field.default for field in fields(ProcessSettings)}
    rows = [
        (
            f"`{name}`",
            rule.allowed,
            _format_default(defaults[name]),
            descriptions[name],
        )
        for name, rule in PROCESS_RULES.items()
    ]
    return _render_table(("Setting", "Allowed", "Default", "Meaning"), rows)


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
