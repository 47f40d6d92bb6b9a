"""Command line of the stand-ins: ``python -m beryldrum.standin log|target --help``."""

import argparse
import asyncio

import uvloop
from aiohttp import web

from ..peer import split_address
from .log import LogStandin
from .target import TargetConfig, TargetStandin


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="beryldrum.standin", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    log = commands.add_parser("log", help="stand-in for the platform's log")
    log.add_argument("--listen", required=True, metavar="IP:PORT")
    log.add_argument("--keep", type=int, default=1_000_000, metavar="RECORDS")
    target = commands.add_parser("target", help="stand-in for a target of a service")
    target.add_argument("--listen", required=True, metavar="IP:PORT")
    target.add_argument(
        "--node", required=True, metavar="IP:PORT", help="address of the node's egress"
    )
    target.add_argument("--service", required=True)
    target.add_argument("--slots", type=int, default=8)
    target.add_argument("--connections", type=int, default=64)
    target.add_argument("--work-ms", type=float, default=5.0)
    target.add_argument("--call", action="append", default=[], metavar="'METHOD /service/path'")
    target.add_argument("--retries", type=int, default=0, help="further attempts of each call")
    return parser


async def _run_log(args: argparse.Namespace) -> None:
    runner = web.AppRunner(LogStandin(args.keep).app(), access_log=None)
    await runner.setup()
    host, port = split_address(args.listen)
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


async def _run_target(args: argparse.Namespace) -> None:
    cfg = TargetConfig(
        args.service,
        args.listen,
        args.node,
        args.slots,
        args.connections,
        args.work_ms,
        tuple(args.call),
        args.retries,
    )
    await TargetStandin(cfg).start()
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in given on the command line."""
    args = _build_parser().parse_args()
    commands = {"log": _run_log, "target": _run_target}
    uvloop.run(commands[args.command](args))


if __name__ == "__main__":
    main()
