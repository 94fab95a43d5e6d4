"""Settings in force at one path of the tree, with where they came from."""

from typing import Any

from sapphireway_state._schema import SETTINGS
from sapphireway_state._tree import OTHER_KIND
from sapphireway_state._view import SettingsView, Source, find_node


def explain_path(view: SettingsView, path: str) -> list[Source] | None:
    """Return what is in force at a node of the tree, or for one setting of it.

    Parameters
    ----------
    view : SettingsView
    path : str
        Path of a node, such as ``services/s/kinds/k``, or of a setting there.

    Returns
    -------
    list of Source or None
        None if the path is neither that of a domain, service or kind nor that
        of one of its settings.
    """
    names = [name for name in path.split("/") if name]
    wanted = names.pop() if names and names[-1] in SETTINGS else None
    place = _find_place(names)
    if place is None:
        return None
    sources = view.explain(*place)
    return [source for source in sources if wanted in (None, source.name)]


def get_value(view: SettingsView, path: str) -> Any:
    """Return what is set at a path itself; None if nothing is."""
    return find_node(view.tree, [name for name in path.split("/") if name])


def _find_place(names):
    place = {"domains": "", "services": "", "kinds": ""}
    for level, name in zip(names[::2], names[1::2], strict=False):
        if level not in place or place[level]:
            return None
        place[level] = name
    if len(names) % 2 or (place["kinds"] and not place["services"]):
        return None
    return place["domains"], place["services"], place["kinds"] or OTHER_KIND
