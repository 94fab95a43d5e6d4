"""Command tree and entry point of sapphirectl."""

import sys

import defopt

from sapphirectl import __version__
from sapphirectl._control_hosts import (
    add_control_host,
    list_control_hosts,
    remove_control_host,
)
from sapphirectl._draining import (
    take_domain_in,
    take_domain_out,
    take_server_in,
    take_server_out,
)
from sapphirectl._exits import ExitCode
from sapphirectl._options import join_repeated
from sapphirectl._reports import show_explanations, show_status, show_traces
from sapphirectl._rollouts import show_rollout, start_rollout
from sapphirectl._settings import (
    edit_settings,
    get_setting,
    set_setting,
    show_changes,
    show_history,
    show_settings,
    unset_setting,
)

COMMANDS = {
    "settings": {
        "show": show_settings,
        "get": get_setting,
        "set": set_setting,
        "unset": unset_setting,
        "edit": edit_settings,
        "history": show_history,
        "diff": show_changes,
    },
    "domain": {"out": take_domain_out, "in": take_domain_in},
    "server": {"out": take_server_out, "in": take_server_in},
    "control": {
        "list": list_control_hosts,
        "add": add_control_host,
        "remove": remove_control_host,
    },
    "rollout": {"start": start_rollout, "status": show_rollout},
    "status": show_status,
    "explain": show_explanations,
    "trace": show_traces,
}


def main(arguments: list[str] | None = None) -> None:
    """Run the command given by the arguments and exit with its code."""
    code = defopt.run(
        COMMANDS,
        argv=join_repeated(sys.argv[1:] if arguments is None else arguments, "--node"),
        version=__version__,
        no_negated_flags=True,
        argparse_kwargs={
            "prog": "sapphirectl",
            "description": "Manages sapphireway through its nodes' admin addresses.",
            "epilog": _describe_exit_codes(),
        },
    )
    sys.exit(int(code))


def _describe_exit_codes():
    names = (f"{code.value} {code.name.lower()}" for code in ExitCode)
    return "Exit codes: " + ", ".join(names)
