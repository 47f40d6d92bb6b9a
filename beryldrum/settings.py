"""The settings of a node, read from a YAML file and validated.

:func:`parse` raises :class:`~beryldrum.errors.SettingsError`, which lists every
problem with its line, its field and what was expected.
"""

import ipaddress
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, TypeVar, cast

from .errors import SettingsError
from .yamlfile import Problems, Section, load

__all__ = ["Settings", "Tls", "is_address", "parse", "parse_with", "read", "read_file"]

T = TypeVar("T")


class Tls(NamedTuple):
    """Paths of certificate files; empty strings disable TLS."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


class Settings(NamedTuple):
    """Settings of a node.

    Addresses are ``ip:port``. Quantities end in their unit: ``_s`` seconds, ``_ms``
    milliseconds, ``_bytes`` bytes.
    """

    node: str
    data_centre: str
    callers: str
    egress: str
    log_url: str
    seeds: tuple[str, ...] = ()
    statsd: str = ""
    log_level: str = "info"
    log_format: str = "json"
    callers_tls: Tls = Tls()
    nodes_tls: Tls = Tls()
    max_body_bytes: int = 1_048_576
    key_silence_s: float = 7_200.0
    seat_hold_s: float = 7_200.0
    snapshot_s: float = 3_600.0
    idempotency_life_s: float = 600.0
    clock_error_ms: int = 500
    ledger_entries: int = 20_000
    ledger_bytes: int = 33_554_432
    drain_s: float = 660.0
    seats: int = 0
    admin_token: str = ""


def is_address(text: str) -> bool:
    """Return whether ``text`` is an IP address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def _read_address(section: Section, field: str, default: str | None = None) -> str:
    value = section.string(field, default)
    if value and not is_address(value):
        section.add_problem(field, "expected ip:port")
    return value


def _build_tls(section: Section) -> Tls:
    tls = Tls(
        section.string("certificate", ""),
        section.string("key", ""),
        section.string("authority", ""),
    )
    if bool(tls.certificate) != bool(tls.key):
        section.add_problem("certificate", "certificate and key go together")
    section.reject_unknown_fields()
    return tls


def _build_settings(section: Section) -> Settings:
    seeds = section.strings("seeds")
    for seed in seeds:
        if not is_address(seed):
            section.add_problem("seeds", f"expected ip:port, not {seed}")
    defaults = Settings("", "", "", "", "")
    cfg = Settings(
        node=_read_address(section, "node"),
        data_centre=section.string("data_centre"),
        callers=_read_address(section, "callers"),
        egress=_read_address(section, "egress"),
        log_url=section.string("log_url"),
        seeds=seeds,
        statsd=_read_address(section, "statsd", ""),
        log_level=section.choice("log_level", ("debug", "info", "warning", "error"), "info"),
        log_format=section.choice("log_format", ("json", "console"), "json"),
        callers_tls=_build_tls(section.section("callers_tls")),
        nodes_tls=_build_tls(section.section("nodes_tls")),
        max_body_bytes=section.integer("max_body_bytes", 1, 8 * 2**20, defaults.max_body_bytes),
        key_silence_s=section.number("key_silence_s", 5, 86_400, defaults.key_silence_s),
        seat_hold_s=section.number("seat_hold_s", 1, 86_400, defaults.seat_hold_s),
        snapshot_s=section.number("snapshot_s", 10, 86_400, defaults.snapshot_s),
        idempotency_life_s=section.number("idempotency_life_s", 1, 86_400, 600),
        clock_error_ms=section.integer("clock_error_ms", 0, 60_000, defaults.clock_error_ms),
        ledger_entries=section.integer("ledger_entries", 1, 10_000_000, defaults.ledger_entries),
        ledger_bytes=section.integer("ledger_bytes", 1, 2**31, defaults.ledger_bytes),
        drain_s=section.number("drain_s", 0, 3_600, defaults.drain_s),
        seats=section.integer("seats", 0, 256, 0),
        admin_token=section.string("admin_token", ""),
    )
    if cfg.callers_tls.authority:
        section.add_problem(
            "callers_tls", "authority is not supported: callers authenticate with API keys"
        )
    section.reject_unknown_fields()
    return cfg


def parse_with(text: str, name: str, build: Callable[[Section], T]) -> T:
    """Return the settings that ``build`` reads from ``text``.

    ``name`` is the file name in the problems. Raises SettingsError.
    """
    problems = Problems(name)
    cfg = load(text, problems, build)
    if problems.all():
        raise SettingsError(problems.all())
    return cast(T, cfg)


def read_file(path: str) -> str:
    """Return the text of a settings file; raises SettingsError."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError((f"{path}:1: file: cannot be read: {exc}",)) from exc


def parse(text: str, name: str = "settings") -> Settings:
    """Return the validated settings in ``text``; raises SettingsError."""
    return parse_with(text, name, _build_settings)


def read(path: str) -> Settings:
    """Return the validated settings in the file at ``path``; raises SettingsError."""
    return parse(read_file(path), path)
