"""Implementation of the operator commands, which call the log or a node.

Errors are raised as :class:`~beryldrum.errors.BeryldrumError`; the command line maps
them to exit codes.
"""

import argparse
import asyncio
import contextlib
import difflib
import json
import secrets
import sys
import time
import uuid
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from . import document, records, settings
from .cluster_state import ClusterState, rebuild_state
from .errors import (
    BeryldrumError,
    ConfigurationWarningsError,
    ConflictError,
    DocumentError,
    LogTruncatedError,
    LogUnresponsiveError,
    RequestNotLoggedError,
    SettingsError,
    UnreachableError,
)
from .keyring import digest_of
from .log import HttpLog, Log, append_confirmed
from .mesh import document_check
from .mesh import settings as mesh_settings
from .mesh.document_check import Change, Draft, Finding, Severity
from .mesh.request_trace import parse_lines, trace_request
from .platform import documents

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
async def _open_log(args: argparse.Namespace) -> AsyncIterator[Log]:
    async with aiohttp.ClientSession(trust_env=False) as session:
        yield HttpLog(args.log, session)


async def load_state(log: Log) -> ClusterState:
    """Return the state as of the newest record of the log; raises LogError."""
    first = 1
    try:
        batch = await log.read(0, 0)
    except LogTruncatedError as exc:
        first = exc.first
        batch = await log.read(first - 1, 0)
    state = rebuild_state(batch.entries, first)
    if state is None:
        raise LogUnresponsiveError(
            "the log's first records have expired and it holds no usable snapshot"
        )
    return state


def _print_result(args: argparse.Namespace, text: str, **fields: Any) -> None:
    print(json.dumps(fields) if args.json else text)


def _read_text(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise DocumentError((f"{path}:1: file: cannot be read: {exc}",)) from exc


async def check(args: argparse.Namespace) -> None:
    """Validate files offline; raises DocumentError with the problems of all of them.

    Raises ConfigurationWarningsError for configurations that have warnings only.
    """
    if args.kind == "configuration":
        _check_configurations(args)
        return
    if args.in_force or args.json:
        raise SettingsError(("--in-force and --json are for check configuration",))
    problems: list[str] = []
    for path in args.files:
        try:
            if args.kind == "settings":
                settings.read(path)
            elif args.kind == "mesh":
                mesh_settings.read(path)
            else:
                document.parse(_read_text(path), path)
            print(f"{path}: good")
        except (SettingsError, DocumentError) as exc:
            problems.extend(exc.problems)
    if problems:
        raise DocumentError(tuple(problems))


def _read_draft(path: str) -> tuple[Draft | None, list[Finding]]:
    return documents.read_draft(_read_text(path).encode())


def _check_configurations(args: argparse.Namespace) -> None:
    in_force = None
    if args.in_force:
        in_force, faults = _read_draft(args.in_force)
        if in_force is None or faults:
            raise DocumentError(tuple(_finding_text(args.in_force, fault) for fault in faults))
    counts: Counter[Severity] = Counter()
    for path in args.files:
        draft, faults = _read_draft(path)
        findings = list(faults)
        changes: list[Change] = []
        if draft is not None:
            findings += document_check.check(draft)
        if draft is not None and in_force is not None:
            findings += document_check.check_version(draft, in_force)
            # A row that cannot be decoded would be told as removed.
            changes = [] if faults else document_check.compare(draft, in_force)
        counts.update(finding.severity for finding in findings)
        lines = [_finding_text(path, finding) for finding in findings] or [f"{path}: good"]
        _print_result(
            args,
            "\n".join(lines + [_change_text(change) for change in changes]),
            file=path,
            findings=[
                {
                    "severity": finding.severity,
                    **documents.record_place(finding.place),
                    "message": finding.message,
                }
                for finding in findings
            ],
            changes=[documents.record_change(change) for change in changes],
        )
    errors, warnings = counts[Severity.ERROR], counts[Severity.WARNING]
    if errors:
        raise DocumentError((f"{errors} errors, {warnings} warnings",))
    if warnings:
        raise ConfigurationWarningsError(f"{warnings} warnings")


def _finding_text(path: str, finding: Finding) -> str:
    place = documents.record_place(finding.place)
    row = f" row {place['row']}" if place["row"] else ""
    field = f" {place['field']}" if place["field"] else ""
    return f"{path}: {finding.severity}: {place['table']}{row}{field}: {finding.message}"


def _change_text(change: Change) -> str:
    fields = documents.record_change(change)
    place = " ".join(filter(None, (fields["table"], change.name, fields["field"])))
    if change.field == "keys":
        return f"changed  {place}: {change.before} removed, {change.after} added"
    if change.field:
        return f"changed  {place}: {json.dumps(fields['before'])} -> {json.dumps(fields['after'])}"
    return f"{change.kind:7}  {place}"


async def explain(args: argparse.Namespace) -> None:
    """Print the log lines of a request; raises RequestNotLoggedError if there are none."""
    lines = [
        line for path in args.files for line in parse_lines(_read_text(path).splitlines(), path)
    ]
    found = trace_request(lines, args.request, args.around)
    if not found:
        raise RequestNotLoggedError(f"request {args.request} not found in {len(lines)} log lines")
    for line in found:
        print(line)


async def publish(log: Log, service: str, text: str, base: int | None, author: str) -> int:
    """Publish a document and return its version.

    ``base`` is the version that it replaces, by default the current one. Raises
    ConflictError if another version was published first, AppendUnknownError if the
    append got no answer, and other LogErrors if the log is unavailable.
    """
    state = await load_state(log)
    base = state.version(service) if base is None else base
    if base != state.version(service):
        raise ConflictError(service, state.version(service))
    record = records.Publish(uuid.uuid4().hex, service, base, text, author)
    await append_confirmed(log, record, state.offset)
    state = await load_state(log)
    accepted = state.find_publication(service, record.id)
    if accepted is None:
        raise ConflictError(service, state.version(service))
    return accepted.number


async def apply(args: argparse.Namespace) -> None:
    """Publish the document in a file."""
    text = _read_text(args.file)
    doc = document.parse(text, args.file)
    async with _open_log(args) as log:
        old = (await load_state(log)).documents.get(doc.service)
        if old is not None and old.seats != doc.seats:
            raise DocumentError(
                (f"{args.file}:1: seats: expected {old.seats}, seats cannot be changed",)
            )
        version = await publish(log, doc.service, text, args.base, args.author)
    _print_result(
        args, f"{doc.service}: version {version} accepted", service=doc.service, version=version
    )


async def _state_with_document(log: Log, service: str) -> ClusterState:
    state = await load_state(log)
    if service not in state.versions:
        raise DocumentError((f"{service}: no document has been published",))
    return state


async def show(args: argparse.Namespace) -> None:
    """Print the current document."""
    async with _open_log(args) as log:
        state = await _state_with_document(log, args.service)
    version = state.versions[args.service][-1]
    _print_result(args, version.text.rstrip(), version=version.number, document=version.text)


async def history(args: argparse.Namespace) -> None:
    """List the versions of a document, oldest first."""
    async with _open_log(args) as log:
        state = await _state_with_document(log, args.service)
    for version in state.versions[args.service]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(version.time_ms / 1000))
        _print_result(
            args,
            f"{version.number:>8}  {at}  {version.author}",
            version=version.number,
            at=at,
            author=version.author,
        )


async def diff(args: argparse.Namespace) -> None:
    """Compare a file with the current document."""
    text = _read_text(args.file)
    doc = document.parse(text, args.file)
    async with _open_log(args) as log:
        state = await _state_with_document(log, doc.service)
    old = state.versions[doc.service][-1]
    lines = list(
        difflib.unified_diff(
            old.text.splitlines(),
            text.splitlines(),
            f"version {old.number}",
            args.file,
            lineterm="",
        )
    )
    _print_result(args, "\n".join(lines) or "no difference", version=old.number, lines=lines)


async def key(args: argparse.Namespace) -> None:
    """Issue, withdraw or list API keys."""
    if args.action != "list" and not args.name:
        raise SettingsError((f"key {args.action}: requires an organisation or a key id",))
    actions = {"give": _give_key, "withdraw": _withdraw_key, "list": _list_keys}
    async with _open_log(args) as log:
        await actions[args.action](args, log)


async def _give_key(args: argparse.Namespace, log: Log) -> None:
    state = await load_state(log)
    secret = secrets.token_urlsafe(KEY_BYTES)
    key_id = secrets.token_hex(4)
    record = records.KeyGive(uuid.uuid4().hex, key_id, digest_of(secret), args.name)
    await append_confirmed(log, record, state.offset)
    _print_result(args, f"id {key_id}\nkey {secret}", id=key_id, key=secret, organisation=args.name)


async def _withdraw_key(args: argparse.Namespace, log: Log) -> None:
    notified = await _notify_node(args) if args.node else False
    try:
        state = await load_state(log)
        record = records.KeyWithdraw(uuid.uuid4().hex, args.name)
        await append_confirmed(log, record, state.offset)
    except BeryldrumError:
        if notified:
            print(
                "the node and its peers were notified; the log has not accepted the withdrawal yet",
                file=sys.stderr,
            )
        raise
    _print_result(args, f"{args.name}: withdrawn", id=args.name, node_told=notified)


async def _notify_node(args: argparse.Namespace) -> bool:
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


async def _list_keys(args: argparse.Namespace, log: Log) -> None:
    state = await load_state(log)
    for api_key in sorted(state.keys.values()):
        _print_result(
            args,
            f"{api_key.key_id}  {api_key.organisation}",
            id=api_key.key_id,
            organisation=api_key.organisation,
        )


def set_leaving(text: str, target: str, back: bool) -> str:
    """Return the document's text with ``target`` added to the ``leaving`` list.

    With ``back`` it is removed instead. The rest of the text stays as it is, including
    the team's comments.
    """
    leaving = [name for name in document.parse(text).leaving if name != target]
    leaving += [] if back else [target]
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    assert isinstance(root, yaml.MappingNode), "a parsed document is a mapping"
    rest = text.rstrip("\n") + "\n"
    for name, value in root.value:
        if name.value == "leaving":
            rest = text[: name.start_mark.index] + text[value.end_mark.index :].lstrip("\n")
    return rest.rstrip("\n") + "\nleaving: " + json.dumps(leaving) + "\n"


async def drain(args: argparse.Namespace) -> None:
    """Publish the current document with a target marked as leaving, or as back."""
    async with _open_log(args) as log:
        state = await _state_with_document(log, args.service)
        text = set_leaving(state.versions[args.service][-1].text, args.target, args.back)
        base = state.version(args.service)
        version = await publish(log, args.service, text, base, args.author)
    word = "is back" if args.back else "leaves"
    _print_result(
        args, f"{args.target} {word}: version {version}", version=version, target=args.target
    )


async def evict(args: argparse.Namespace) -> None:
    """Free the seats of a node, after its hold time unless its host is off."""
    async with _open_log(args) as log:
        state = await load_state(log)
        record = records.Evict(uuid.uuid4().hex, args.name, args.host_is_off)
        await append_confirmed(log, record, state.offset)
    seats = len(state.seats_held_by(args.name))
    when = "now" if args.host_is_off else "after its hold"
    print(f"{args.name}: {seats} seats fall vacant {when}")


async def status(args: argparse.Namespace) -> None:
    """Print a node's state, once or, with ``--watch``, every second."""
    while True:
        state = await _fetch_status(args)
        print(json.dumps(state) if args.json else format_status(state), flush=True)
        if not args.watch:
            return
        await asyncio.sleep(WATCH_PERIOD_S)


async def _fetch_status(args: argparse.Namespace) -> dict[str, Any]:
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


def format_status(state: dict[str, Any]) -> str:
    """Return a node's state as text for operators."""
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
    lines.append(
        f"seats  {', '.join(state['seats']) or 'none'}  settling {state['seats_settling']}  "
        f"vacant on all nodes {sum(state['seats_vacant'].values())}"
    )
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
