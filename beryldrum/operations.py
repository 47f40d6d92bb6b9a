"""What the operators' commands do, against the log or a node."""

import argparse
import asyncio
import contextlib
import difflib
import json
import secrets
import sys
import time
import uuid
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from . import document, records, settings
from .errors import (
    BeryldrumError,
    ConflictError,
    DocumentError,
    LogTruncatedError,
    LogUnresponsiveError,
    RequestNotLoggedError,
    SettingsError,
    UnreachableError,
)
from .fold import Fleet, start_from
from .keyring import digest_of
from .log import HttpLog, Log, append_settled
from .mesh import settings as mesh_settings
from .mesh.request_trace import parse_lines, trace_request

__all__ = [
    "apply",
    "check",
    "diff",
    "drain",
    "evict",
    "explain",
    "history",
    "key",
    "show",
    "status",
]

KEY_BYTES = 24
WATCH_PERIOD_S = 1.0


@contextlib.asynccontextmanager
async def _opened(args: argparse.Namespace) -> AsyncIterator[Log]:
    async with aiohttp.ClientSession(trust_env=False) as session:
        yield HttpLog(args.log, session)


async def folded(log: Log) -> Fleet:
    """Return the state at the head of the log; raises LogError."""
    first = 1
    try:
        batch = await log.read(0, 0)
    except LogTruncatedError as exc:
        first = exc.first
        batch = await log.read(first - 1, 0)
    fleet = start_from(batch.entries, first)
    if fleet is None:
        raise LogUnresponsiveError("the log keeps neither its start nor a snapshot")
    return fleet


def _say(args: argparse.Namespace, text: str, **fields: Any) -> None:
    print(json.dumps(fields) if args.json else text)


def _read(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError((f"{path}:1: file: cannot be read: {exc}",)) from exc


async def check(args: argparse.Namespace) -> None:
    """Check files offline; raises with the faults of all of them."""
    faults: list[str] = []
    for path in args.files:
        try:
            if args.kind == "settings":
                settings.read(path)
            elif args.kind == "mesh":
                mesh_settings.read(path)
            else:
                document.parse(_read(path), path)
            print(f"{path}: good")
        except (SettingsError, DocumentError) as exc:
            faults.extend(exc.problems)
    if faults:
        raise DocumentError(tuple(faults))


async def explain(args: argparse.Namespace) -> None:
    """Print a request's story; raises RequestNotLoggedError when no line speaks of it."""
    lines = [line for path in args.files for line in parse_lines(_read(path).splitlines(), path)]
    found = trace_request(lines, args.request, args.around)
    if not found:
        raise RequestNotLoggedError(f"no line of {args.request} in {len(lines)} lines")
    for line in found:
        print(line)


async def publish(log: Log, service: str, text: str, base: int | None, author: str) -> int:
    """Publish a document and return its version.

    Raises ConflictError when another one came first, AppendUnknownError when the log does
    not tell.
    """
    fleet = await folded(log)
    base = fleet.version(service) if base is None else base
    if base != fleet.version(service):
        raise ConflictError(service, fleet.version(service))
    record = records.Publish(uuid.uuid4().hex, service, base, text, author)
    await append_settled(log, record, fleet.offset)
    fleet = await folded(log)
    accepted = fleet.published(service, record.id)
    if accepted is None:
        raise ConflictError(service, fleet.version(service))
    return accepted.number


async def apply(args: argparse.Namespace) -> None:
    """Publish the document in a file."""
    text = _read(args.file)
    doc = document.parse(text, args.file)
    async with _opened(args) as log:
        old = (await folded(log)).documents.get(doc.service)
        if old is not None and old.seats != doc.seats:
            raise DocumentError((f"{args.file}:1: seats: expected {old.seats}, it never changes",))
        version = await publish(log, doc.service, text, args.base, args.author)
    _say(args, f"{doc.service}: version {version} accepted", service=doc.service, version=version)


async def _in_force(log: Log, service: str) -> Fleet:
    fleet = await folded(log)
    if service not in fleet.versions:
        raise DocumentError((f"{service}: no document is in force",))
    return fleet


async def show(args: argparse.Namespace) -> None:
    """Print the document in force."""
    async with _opened(args) as log:
        fleet = await _in_force(log, args.service)
    version = fleet.versions[args.service][-1]
    _say(args, version.text.rstrip(), version=version.number, document=version.text)


async def history(args: argparse.Namespace) -> None:
    """List the versions of a document, oldest first."""
    async with _opened(args) as log:
        fleet = await _in_force(log, args.service)
    for version in fleet.versions[args.service]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(version.time_ms / 1000))
        _say(
            args,
            f"{version.number:>8}  {at}  {version.author}",
            version=version.number,
            at=at,
            author=version.author,
        )


async def diff(args: argparse.Namespace) -> None:
    """Compare a file with the document in force."""
    text = _read(args.file)
    doc = document.parse(text, args.file)
    async with _opened(args) as log:
        fleet = await _in_force(log, doc.service)
    old = fleet.versions[doc.service][-1]
    lines = list(
        difflib.unified_diff(
            old.text.splitlines(),
            text.splitlines(),
            f"version {old.number}",
            args.file,
            lineterm="",
        )
    )
    _say(args, "\n".join(lines) or "no difference", version=old.number, lines=lines)


async def key(args: argparse.Namespace) -> None:
    """Give, withdraw or list keys."""
    if args.action != "list" and not args.name:
        raise SettingsError((f"key {args.action}: an organisation or a key id is needed",))
    actions = {"give": _give, "withdraw": _withdraw, "list": _list}
    async with _opened(args) as log:
        await actions[args.action](args, log)


async def _give(args: argparse.Namespace, log: Log) -> None:
    fleet = await folded(log)
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_id = secrets.token_hex(4)
    record = records.KeyGive(uuid.uuid4().hex, key_id, digest_of(secret), args.name)
    await append_settled(log, record, fleet.offset)
    _say(args, f"id {key_id}\nkey {secret}", id=key_id, key=secret, organisation=args.name)


async def _withdraw(args: argparse.Namespace, log: Log) -> None:
    told = await _tell_node(args) if args.node else False
    try:
        fleet = await folded(log)
        record = records.KeyWithdraw(uuid.uuid4().hex, args.name)
        await append_settled(log, record, fleet.offset)
    except BeryldrumError:
        if told:
            print("told the node and its peers; the log did not take it yet", file=sys.stderr)
        raise
    _say(args, f"{args.name}: withdrawn", id=args.name, node_told=told)


async def _tell_node(args: argparse.Namespace) -> bool:
    url = args.node.rstrip("/") + "/.beryldrum/withdraw"
    headers = {"Authorization": f"Bearer {args.token}"}
    try:
        async with (
            aiohttp.ClientSession(trust_env=False) as session,
            session.post(url, json={"key_id": args.name}, headers=headers) as resp,
        ):
            return resp.status == 200
    except (aiohttp.ClientError, OSError) as exc:
        raise UnreachableError(f"{args.node}: {exc}") from exc


async def _list(args: argparse.Namespace, log: Log) -> None:
    fleet = await folded(log)
    for known in sorted(fleet.keys.values()):
        _say(
            args,
            f"{known.key_id}  {known.organisation}",
            id=known.key_id,
            organisation=known.organisation,
        )


def with_leaving(text: str, target: str, back: bool) -> str:
    """Return the document's text with a target leaving, or no longer.

    Only the ``leaving`` list is written anew; the team's comments stay.
    """
    leaving = [name for name in document.parse(text).leaving if name != target]
    leaving += [] if back else [target]
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    assert isinstance(root, yaml.MappingNode), "the document has been parsed"
    kept = text.rstrip("\n") + "\n"
    for name, value in root.value:
        if name.value == "leaving":
            kept = text[: name.start_mark.index] + text[value.end_mark.index :].lstrip("\n")
    return kept.rstrip("\n") + "\nleaving: " + json.dumps(leaving) + "\n"


async def drain(args: argparse.Namespace) -> None:
    """Publish the document in force with a target leaving."""
    async with _opened(args) as log:
        fleet = await _in_force(log, args.service)
        text = with_leaving(fleet.versions[args.service][-1].text, args.target, args.back)
        base = fleet.version(args.service)
        version = await publish(log, args.service, text, base, args.author)
    word = "is back" if args.back else "leaves"
    _say(args, f"{args.target} {word}: version {version}", version=version, target=args.target)


async def evict(args: argparse.Namespace) -> None:
    """Free the seats of a node."""
    async with _opened(args) as log:
        fleet = await folded(log)
        record = records.Evict(uuid.uuid4().hex, args.name, args.host_is_off)
        await append_settled(log, record, fleet.offset)
    seats = len(fleet.held_by(args.name))
    when = "now" if args.host_is_off else "after its hold"
    print(f"{args.name}: {seats} seats fall vacant {when}")


async def status(args: argparse.Namespace) -> None:
    """Print a node's state, once or every second."""
    while True:
        state = await _status(args)
        print(json.dumps(state) if args.json else render(state), flush=True)
        if not args.watch:
            return
        await asyncio.sleep(WATCH_PERIOD_S)


async def _status(args: argparse.Namespace) -> dict[str, Any]:
    url = args.node.rstrip("/") + "/.beryldrum/status"
    headers = {"Authorization": f"Bearer {args.token}"}
    try:
        async with (
            aiohttp.ClientSession(trust_env=False) as session,
            session.get(url, headers=headers) as resp,
        ):
            if resp.status != 200:
                raise UnreachableError(f"{args.node}: status {resp.status}")
            found: dict[str, Any] = await resp.json()
            return found
    except (aiohttp.ClientError, OSError) as exc:
        raise UnreachableError(f"{args.node}: {exc}") from exc


def render(state: dict[str, Any]) -> str:
    """Return a node's state as text to be read at a glance."""
    gate = state["gate"]
    lines = [
        f"node {state['node']}  {state['data_centre']}"
        + ("  DRAINING" if state["draining"] else ""),
        f"log {state['log']}  offset {state['offset']}  news {state['news_age_s']} s old",
        "versions  " + "  ".join(f"{s} {v}" for s, v in sorted(state["versions"].items())),
    ]
    if gate:
        lines.append(
            f"gate  {gate['service']} {gate['address']} {gate['state']}  in flight "
            f"{gate['in_flight']}/{gate['limit']}  queued {gate['queued']}  level {gate['level']}"
        )
    lines.append(f"seats  {', '.join(state['seats']) or 'none'}")
    for name, account in sorted(state["accounts"].items()):
        own, lent, borrowed = account["own"], account["lent"], account["borrowed"]
        lines.append(
            f"account  {name}  own {own['rate_per_s']:.1f}/s  lent {lent['rate_per_s']:.1f}/s  "
            f"borrowed {borrowed['rate_per_s']:.1f}/s  tokens {account['tokens']}"
        )
    for member in state["members"]:
        mark = "  SUSPECTED" if member["node"] in state["suspected"] else ""
        lines.append(
            f"member  {member['node']}  {member['data_centre']}  {member['service'] or '-'}  "
            f"{member['state']}{mark}"
        )
    return "\n".join(lines)
