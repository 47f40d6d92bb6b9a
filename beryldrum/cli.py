"""The ``beryldrum`` command: operator commands and the node daemon.

Exit codes: 0 success, 1 failure or warnings only, 2 usage error or invalid file,
3 conflict, 4 unknown outcome, 5 log or node unreachable.
"""

import argparse
import asyncio
import sys
from collections.abc import Awaitable, Callable

import uvloop

from . import __version__, operations, settings
from .errors import (
    AppendUnknownError,
    BeryldrumError,
    ConflictError,
    DocumentError,
    LogError,
    SettingsError,
    UnreachableError,
)

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CODES: tuple[tuple[type[BaseException], int], ...] = (
    (SettingsError, EXIT_USAGE),
    (DocumentError, EXIT_USAGE),
    (ConflictError, 3),
    (AppendUnknownError, 4),
    (LogError, 5),
    (UnreachableError, 5),
)

EPILOG = """\
examples:
  beryldrum node --settings host.yaml
  beryldrum check document payments.yaml
  beryldrum check configuration next.json --in-force current.json
  beryldrum apply payments.yaml --log http://10.0.0.9:7000
  beryldrum key give remenar-01 --log http://10.0.0.9:7000
  beryldrum status --node http://127.0.0.1:7102 --watch
  beryldrum explain 9c41d07be2a35f68 host-a.log host-b.log

exit codes:
  0 success    1 failure, warnings   2 usage error or invalid file
  3 conflict   4 unknown outcome     5 log or node unreachable
"""

Command = Callable[[argparse.Namespace], Awaitable[None]]


def _add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    run: Command,
    description: str,
    example: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=description,
        description=description,
        epilog=f"example:\n  beryldrum {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    return parser


def _add_log_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--log", required=True, metavar="URL", help="base URL of the platform's log"
    )


def _add_node_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--node", required=True, metavar="URL", help="a node's egress or callers URL"
    )
    parser.add_argument("--token", default="", help="operators' token, needed for the callers URL")


def _add_json_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="beryldrum",
        description="Overload control for service call graphs.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    node = _add_command(
        commands, "node", _run_node, "Run the node daemon.", "node --settings host.yaml"
    )
    node.add_argument("--settings", required=True, metavar="FILE")

    check = _add_command(
        commands,
        "check",
        operations.check,
        "Validate files and print every problem found.",
        "check settings host.yaml",
    )
    check.add_argument("kind", choices=("settings", "document", "mesh", "configuration"))
    check.add_argument("files", nargs="+", metavar="FILE")
    check.add_argument(
        "--in-force",
        default="",
        metavar="FILE",
        help="compare a configuration with the one in force",
    )
    _add_json_option(check)

    apply = _add_command(
        commands,
        "apply",
        operations.apply,
        "Publish a service document.",
        "apply payments.yaml --log http://10.0.0.9:7000 --base 41",
    )
    apply.add_argument("file", metavar="FILE")
    apply.add_argument(
        "--base", type=int, help="version that it replaces (default: the current one)"
    )
    apply.add_argument("--author", default="operator")
    _add_log_option(apply)
    _add_json_option(apply)

    for name, run, description in (
        ("show", operations.show, "Print the current document."),
        ("history", operations.history, "List the versions of a document."),
        ("diff", operations.diff, "Compare a file with the current document."),
    ):
        example = f"{name} {'payments.yaml' if name == 'diff' else 'payments'} --log URL"
        subparser = _add_command(commands, name, run, description, example)
        subparser.add_argument("file" if name == "diff" else "service")
        _add_log_option(subparser)
        _add_json_option(subparser)

    explain = _add_command(
        commands,
        "explain",
        operations.explain,
        "Print the log lines of a request from the log files of all hosts, by time.",
        "explain 9c41d07be2a35f68 --around 2 host-a.log host-b.log",
    )
    explain.add_argument("request", metavar="ID")
    explain.add_argument("files", nargs="+", metavar="FILE")
    explain.add_argument(
        "--around",
        type=float,
        default=0.0,
        metavar="S",
        help="include state changes within S seconds",
    )

    _add_key_command(commands)
    _add_host_commands(commands)
    return parser


def _add_key_command(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    key = _add_command(
        commands,
        "key",
        operations.key,
        "Issue, withdraw or list API keys of organisations.",
        "key withdraw 5f1c --log http://10.0.0.9:7000 --node http://10.0.0.4:7100",
    )
    key.add_argument("action", choices=("give", "withdraw", "list"))
    key.add_argument("name", nargs="?", default="", help="organisation (give) or key id (withdraw)")
    key.add_argument("--node", default="", metavar="URL", help="also notify this node directly")
    key.add_argument("--token", default="", help="operators' token")
    _add_log_option(key)
    _add_json_option(key)


def _add_host_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    drain = _add_command(
        commands,
        "drain",
        operations.drain,
        "Mark a target as leaving in its service's document, or as back.",
        "drain payments 10.0.0.4:8080 --log http://10.0.0.9:7000",
    )
    drain.add_argument("service")
    drain.add_argument("target", metavar="IP:PORT")
    drain.add_argument("--back", action="store_true", help="remove the mark")
    drain.add_argument("--author", default="operator")
    _add_log_option(drain)
    _add_json_option(drain)

    evict = _add_command(
        commands,
        "evict",
        operations.evict,
        "Free the seats of a node whose host is permanently switched off.",
        "evict 10.0.0.4:7101 --log http://10.0.0.9:7000 --host-is-off",
    )
    evict.add_argument("name", metavar="IP:PORT")
    evict.add_argument("--host-is-off", action="store_true", help="do not wait for its hold time")
    _add_log_option(evict)

    status = _add_command(
        commands,
        "status",
        operations.status,
        "Show the state of a node and its view of the fleet.",
        "status --node http://127.0.0.1:7102 --watch",
    )
    status.add_argument("--watch", action="store_true", help="repeat every second")
    _add_node_options(status)
    _add_json_option(status)


async def _run_node(args: argparse.Namespace) -> None:
    from . import logs, node

    cfg = settings.read(args.settings)
    logs.setup(cfg.log_level, cfg.log_format)
    await node.serve(node.Node(cfg))


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = _build_parser().parse_args(argv)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(args.run(args))
    except BeryldrumError as exc:
        print(f"beryldrum: {exc or type(exc).__name__}", file=sys.stderr)
        return next((code for cls, code in EXIT_CODES if isinstance(exc, cls)), EXIT_FAILED)
    except OSError as exc:
        print(f"beryldrum: {exc}", file=sys.stderr)
        return EXIT_FAILED
    except (KeyboardInterrupt, BrokenPipeError):
        return EXIT_FAILED
    return 0
