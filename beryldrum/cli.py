"""The command line of operators and of the daemon.

Exit codes: 0 done, 1 failed, 2 usage or a file that fails its check, 3 conflict,
4 unknown outcome, 5 unreachable.
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
EXITS: tuple[tuple[type[BaseException], int], ...] = (
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
  beryldrum apply payments.yaml --log http://10.0.0.9:7000
  beryldrum key give remenar-01 --log http://10.0.0.9:7000
  beryldrum status --node http://127.0.0.1:7102 --watch
  beryldrum explain 9c41d07be2a35f68 host-a.log host-b.log

exit codes:
  0 done   1 failed   2 usage or a file that fails its check
  3 conflict   4 outcome unknown   5 unreachable
"""

Command = Callable[[argparse.Namespace], Awaitable[None]]


def _add(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    run: Command,
    text: str,
    example: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=f"example:\n  beryldrum {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    return parser


def _with_log(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--log", required=True, metavar="URL", help="the platform's log")


def _with_node(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--node", required=True, metavar="URL", help="a node's egress or callers")
    parser.add_argument("--token", default="", help="operators' token, for a node elsewhere")


def _with_json(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON for scripts")


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="beryldrum",
        description="Overload control for service call graphs.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    node = _add(commands, "node", _node, "Run the daemon of a host.", "node --settings host.yaml")
    node.add_argument("--settings", required=True, metavar="FILE")

    check = _add(
        commands,
        "check",
        operations.check,
        "Check a file and print every fault.",
        "check settings host.yaml",
    )
    check.add_argument("kind", choices=("settings", "document", "mesh"))
    check.add_argument("files", nargs="+", metavar="FILE")

    apply = _add(
        commands,
        "apply",
        operations.apply,
        "Publish a service document.",
        "apply payments.yaml --log http://10.0.0.9:7000 --base 41",
    )
    apply.add_argument("file", metavar="FILE")
    apply.add_argument("--base", type=int, help="the version it builds on; else the present one")
    apply.add_argument("--author", default="operator")
    _with_log(apply)
    _with_json(apply)

    for name, run, text in (
        ("show", operations.show, "Print the document in force."),
        ("history", operations.history, "List the versions of a document."),
        ("diff", operations.diff, "Compare a file with the document in force."),
    ):
        example = f"{name} {'payments.yaml' if name == 'diff' else 'payments'} --log URL"
        reader = _add(commands, name, run, text, example)
        reader.add_argument("file" if name == "diff" else "service")
        _with_log(reader)
        _with_json(reader)

    explain = _add(
        commands,
        "explain",
        operations.explain,
        "Print a request's story over all hosts, from their log files.",
        "explain 9c41d07be2a35f68 --around 2 host-a.log host-b.log",
    )
    explain.add_argument("request", metavar="ID")
    explain.add_argument("files", nargs="+", metavar="FILE")
    explain.add_argument(
        "--around", type=float, default=0.0, metavar="S", help="with changes of belief around it"
    )

    _add_key(commands)
    _add_hosts(commands)
    return parser


def _add_key(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    give = _add(
        commands,
        "key",
        operations.key,
        "Give, withdraw or list keys of organisations.",
        "key withdraw 5f1c --log http://10.0.0.9:7000 --node http://10.0.0.4:7100",
    )
    give.add_argument("action", choices=("give", "withdraw", "list"))
    give.add_argument("name", nargs="?", default="", help="organisation to give, id to withdraw")
    give.add_argument("--node", default="", metavar="URL", help="also tell this node directly")
    give.add_argument("--token", default="", help="operators' token")
    _with_log(give)
    _with_json(give)


def _add_hosts(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    drain = _add(
        commands,
        "drain",
        operations.drain,
        "State in a service's document that a target leaves, or has come back.",
        "drain payments 10.0.0.4:8080 --log http://10.0.0.9:7000",
    )
    drain.add_argument("service")
    drain.add_argument("target", metavar="IP:PORT")
    drain.add_argument("--back", action="store_true", help="the target no longer leaves")
    drain.add_argument("--author", default="operator")
    _with_log(drain)
    _with_json(drain)

    evict = _add(
        commands,
        "evict",
        operations.evict,
        "Free the seats of a node whose host is switched off for good.",
        "evict 10.0.0.4:7101 --log http://10.0.0.9:7000 --host-is-off",
    )
    evict.add_argument("name", metavar="IP:PORT")
    evict.add_argument("--host-is-off", action="store_true", help="do not wait for its hold")
    _with_log(evict)

    status = _add(
        commands,
        "status",
        operations.status,
        "Show a node, and the fleet as it knows it.",
        "status --node http://127.0.0.1:7102 --watch",
    )
    status.add_argument("--watch", action="store_true", help="print anew every second")
    _with_node(status)
    _with_json(status)


async def _node(args: argparse.Namespace) -> None:
    from . import logs, node

    cfg = settings.read(args.settings)
    logs.setup(cfg.log_level, cfg.log_format)
    await node.serve(node.Node(cfg))


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = _parser().parse_args(argv)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(args.run(args))
    except BeryldrumError as exc:
        print(f"beryldrum: {exc or type(exc).__name__}", file=sys.stderr)
        return next((code for cls, code in EXITS if isinstance(exc, cls)), EXIT_FAILED)
    except OSError as exc:
        print(f"beryldrum: {exc}", file=sys.stderr)
        return EXIT_FAILED
    except (KeyboardInterrupt, BrokenPipeError):
        return EXIT_FAILED
    return 0
