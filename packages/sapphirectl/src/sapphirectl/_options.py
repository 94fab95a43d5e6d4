"""Options shared by commands, and a decorator that adds them."""

import functools
import getpass
import inspect
import os
import re
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Literal

OutputFormat = Literal["table", "json", "yaml"]

PARAMETERS_HEADING = "Parameters\n----------\n"


@dataclass(slots=True)
class Connection:
    """Nodes to query, and the format of the output.

    Attributes
    ----------
    nodes : list of str
        Admin addresses, tried in order.
    timeout_s : float
    output : str
        ``table``, ``json`` or ``yaml``.
    """

    nodes: list[str]
    timeout_s: float
    output: OutputFormat

    def demote(self, node: str) -> None:
        """Move a node that did not respond to the end of the list."""
        self.nodes.remove(node)
        self.nodes.append(node)


@dataclass(slots=True, frozen=True)
class EditOptions:
    """Operator, token and identity of an edit.

    Attributes
    ----------
    token_file : str or None
    operator, reason : str
    edit_id : str
    base : int or None
        Version that the edit is based on; the current one if None.
    """

    token_file: str | None
    operator: str
    reason: str
    edit_id: str
    base: int | None


@dataclass(slots=True, frozen=True)
class Authority:
    """Operator and token of a change that creates no version of the tree."""

    token_file: str | None
    operator: str
    reason: str


def read_connection(
    *,
    node: str | None = None,
    timeout_s: float = 10.0,
    output: OutputFormat = "table",
) -> Connection:
    """Return the options of every command.

    Parameters
    ----------
    node : str
        Admin address of a node, host:port. Can be repeated, or list several
        separated by commas; they are tried in order. Default: $SAPPHIREWAY_NODES.
    timeout_s : float
        Timeout for each node in seconds.
    output : str
        Output format.
    """
    nodes = (node or os.environ.get("SAPPHIREWAY_NODES", "")).split(",")
    return Connection(list(filter(None, map(str.strip, nodes))), timeout_s, output)


def join_repeated(arguments: Sequence[str], option: str) -> list[str]:
    """Merge repetitions of an option into one with comma-separated values."""
    others = []
    values = []
    remaining = iter(arguments)
    for argument in remaining:
        if argument == option:
            values.append(next(remaining, ""))
        elif argument.startswith(option + "="):
            values.append(argument.removeprefix(option + "="))
        else:
            others.append(argument)
    if not values:
        return others
    return [*others, f"{option}={','.join(values)}"]


def read_edit_options(
    *,
    token_file: str | None = None,
    operator: str | None = None,
    reason: str = "",
    edit_id: str | None = None,
    base: int | None = None,
) -> EditOptions:
    """Return the options of commands that edit the settings tree.

    Parameters
    ----------
    token_file : str
        File of mode 0600 with the operator's token; default:
        $SAPPHIREWAY_TOKEN_FILE.
    operator : str
        Your name in the history; default: $SAPPHIREWAY_OPERATOR, else the login
        name.
    reason : str
        Reason shown in the history.
    edit_id : str
        Id of an earlier edit whose answer was lost; requires --base.
    base : int
        Version that the edit is based on; default: the current one.
    """
    return EditOptions(
        token_file or os.environ.get("SAPPHIREWAY_TOKEN_FILE"),
        operator or os.environ.get("SAPPHIREWAY_OPERATOR") or getpass.getuser(),
        reason,
        edit_id or uuid.uuid4().hex,
        base,
    )


def read_authority(
    *,
    token_file: str | None = None,
    operator: str | None = None,
    reason: str = "",
) -> Authority:
    """Return the options of commands whose changes create no version of the tree.

    Parameters
    ----------
    token_file : str
        File of mode 0600 with the operator's token; default:
        $SAPPHIREWAY_TOKEN_FILE.
    operator : str
        Your name in the log; default: $SAPPHIREWAY_OPERATOR, else the login name.
    reason : str
        Reason shown in the log.
    """
    return Authority(
        token_file or os.environ.get("SAPPHIREWAY_TOKEN_FILE"),
        operator or os.environ.get("SAPPHIREWAY_OPERATOR") or getpass.getuser(),
        reason,
    )


def add_options(*builders: Callable[..., Any]) -> Callable:
    """Return a decorator that adds the options of `builders` to a command.

    The command receives the result of each builder as its first parameters. On
    the command line, the builders' own parameters replace them.
    """

    def decorate(command):
        own_parameters = list(inspect.signature(command).parameters.values())[
            len(builders) :
        ]
        groups = [inspect.signature(builder).parameters for builder in builders]

        @functools.wraps(command)
        def run(*args, **values):
            built = [
                builder(**{name: values.pop(name) for name in group if name in values})
                for builder, group in zip(builders, groups, strict=True)
            ]
            return command(*built, *args, **values)

        builder_parameters = [
            parameter for group in groups for parameter in group.values()
        ]
        run.__signature__ = inspect.Signature(
            sorted(
                [*own_parameters, *builder_parameters],
                key=lambda parameter: parameter.kind,
            )
        )
        run.__annotations__ = {
            item.name: item.annotation
            for item in (*own_parameters, *builder_parameters)
        }
        run.__doc__ = _merge_docstrings(command, builders)
        return run

    return decorate


def _merge_docstrings(command, builders):
    text = inspect.getdoc(command)
    if PARAMETERS_HEADING not in text:
        text += "\n\n" + PARAMETERS_HEADING
    for builder in builders:
        parameters = inspect.getdoc(builder).partition(PARAMETERS_HEADING)[2]
        text = text.rstrip("\n") + "\n" + parameters
    # defopt takes the types from the annotations alone.
    return re.sub(r"^(\w+) : .*$", r"\1", text, flags=re.MULTILINE)
