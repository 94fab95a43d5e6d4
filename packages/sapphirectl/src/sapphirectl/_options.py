"""Options that many commands share, and how they are added to a command."""

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
    """Nodes to ask, and how to show what they answer.

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
        """Try a node that gave no answer after all others from now on."""
        self.nodes.remove(node)
        self.nodes.append(node)


@dataclass(slots=True, frozen=True)
class EditOptions:
    """Who edits, and how an edit is sent again.

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
    """Who changes something, and by which token."""

    token_file: str | None
    operator: str
    reason: str


def read_connection(
    *,
    node: str | None = None,
    timeout_s: float = 10.0,
    output: OutputFormat = "table",
) -> Connection:
    """Read the options of every command.

    Parameters
    ----------
    node : str
        Admin address of a node, host:port. May be given again, or several
        separated by commas; they are tried in order. Default: $SAPPHIREWAY_NODES.
    timeout_s : float
        Seconds to wait for each node.
    output : str
        Form of what is printed.
    """
    nodes = (node or os.environ.get("SAPPHIREWAY_NODES", "")).split(",")
    return Connection(list(filter(None, map(str.strip, nodes))), timeout_s, output)


def join_repeated(arguments: Sequence[str], option: str) -> list[str]:
    """Return the arguments with the values of a repeated option in one of it."""
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
    """Read the options of commands that change something.

    Parameters
    ----------
    token_file : str
        File of mode 0600 with the operator's token; default:
        $SAPPHIREWAY_TOKEN_FILE.
    operator : str
        Your name for the history; default: $SAPPHIREWAY_OPERATOR, else the login
        name.
    reason : str
        Reason for the history.
    edit_id : str
        Id of an earlier edit whose answer was lost; needs --base too.
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
    """Read the options of commands that change what no version counts.

    Parameters
    ----------
    token_file : str
        File of mode 0600 with the operator's token; default:
        $SAPPHIREWAY_TOKEN_FILE.
    operator : str
        Your name for the log; default: $SAPPHIREWAY_OPERATOR, else the login name.
    reason : str
        Reason for the log.
    """
    return Authority(
        token_file or os.environ.get("SAPPHIREWAY_TOKEN_FILE"),
        operator or os.environ.get("SAPPHIREWAY_OPERATOR") or getpass.getuser(),
        reason,
    )


def add_options(*builders: Callable[..., Any]) -> Callable:
    """Return a decorator that gives a command the options of `builders`.

    The command takes what each builder returns as its first parameters; they
    are replaced by the builders' own parameters on the command line.
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
    # The command line takes the types from the annotations alone.
    return re.sub(r"^(\w+) : .*$", r"\1", text, flags=re.MULTILINE)
