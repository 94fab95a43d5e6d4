"""Settings in force at one path of the tree, with their sources."""

from typing import Any

from sapphireway_state._schema import SETTINGS
from sapphireway_state._tree import OTHER_KIND
from sapphireway_state._view import SettingsView, Source, find_node


def explain_path(view: SettingsView, path: str) -> list[Source] | None:
    """Return the sources of the settings in force at a tree node, or of one of them.

    Parameters
    ----------
    view : SettingsView
    path : str
        Path of a node, such as ``services/s/kinds/k``, or of a setting there.

    Returns
    -------
    list of Source or None
        None if the path is not that of the root, a domain, a service, a kind or one
        of their settings.
    """
    names = [name for name in path.split("/") if name]
    setting = names.pop() if names and names[-1] in SETTINGS else None
    location = _parse_location(names)
    if location is None:
        return None
    sources = view.explain(*location)
    return [source for source in sources if setting in (None, source.name)]


def get_value(view: SettingsView, path: str) -> Any:
    """Return the value or node set at a path itself, or None."""
    return find_node(view.tree, [name for name in path.split("/") if name])


def _parse_location(names):
    location = {"domains": "", "services": "", "kinds": ""}
    for level, name in zip(names[::2], names[1::2], strict=False):
        if level not in location or location[level]:
            return None
        location[level] = name
    if len(names) % 2 or (location["kinds"] and not location["services"]):
        return None
    return location["domains"], location["services"], location["kinds"] or OTHER_KIND
