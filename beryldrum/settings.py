"""The settings of one node, read from YAML and checked.

:func:`parse` raises :class:`~beryldrum.errors.SettingsError` with every fault,
its line, its field and what was expected.
"""

import ipaddress
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, TypeVar, cast

from .errors import SettingsError
from .yamlfile import Faults, Section, load

__all__ = ["Settings", "Tls", "checked", "is_address", "parse", "read", "text_of"]

T = TypeVar("T")


class Tls(NamedTuple):
    """Certificate files; empty strings switch TLS off."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


class Settings(NamedTuple):
    """What a node is told about itself. Addresses are ``ip:port``."""

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
    """Tell whether ``text`` is an IP number and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def _address(section: Section, field: str, default: str | None = None) -> str:
    value = section.text(field, default)
    if value and not is_address(value):
        section.fail(field, "expected ip:port")
    return value


def _tls(section: Section) -> Tls:
    tls = Tls(
        section.text("certificate", ""), section.text("key", ""), section.text("authority", "")
    )
    if bool(tls.certificate) != bool(tls.key):
        section.fail("certificate", "certificate and key go together")
    section.close()
    return tls


def _build(section: Section) -> Settings:
    seeds = section.texts("seeds")
    for seed in seeds:
        if not is_address(seed):
            section.fail("seeds", f"expected ip:port, not {seed}")
    base = Settings("", "", "", "", "")
    cfg = Settings(
        node=_address(section, "node"),
        data_centre=section.text("data_centre"),
        callers=_address(section, "callers"),
        egress=_address(section, "egress"),
        log_url=section.text("log_url"),
        seeds=seeds,
        statsd=_address(section, "statsd", ""),
        log_level=section.choice("log_level", ("debug", "info", "warning", "error"), "info"),
        log_format=section.choice("log_format", ("json", "console"), "json"),
        callers_tls=_tls(section.section("callers_tls")),
        nodes_tls=_tls(section.section("nodes_tls")),
        max_body_bytes=section.integer("max_body_bytes", 1, 8 * 2**20, base.max_body_bytes),
        key_silence_s=section.number("key_silence_s", 5, 86_400, base.key_silence_s),
        seat_hold_s=section.number("seat_hold_s", 1, 86_400, base.seat_hold_s),
        snapshot_s=section.number("snapshot_s", 10, 86_400, base.snapshot_s),
        idempotency_life_s=section.number("idempotency_life_s", 1, 86_400, 600),
        clock_error_ms=section.integer("clock_error_ms", 0, 60_000, base.clock_error_ms),
        ledger_entries=section.integer("ledger_entries", 1, 10_000_000, base.ledger_entries),
        ledger_bytes=section.integer("ledger_bytes", 1, 2**31, base.ledger_bytes),
        drain_s=section.number("drain_s", 0, 3_600, base.drain_s),
        seats=section.integer("seats", 0, 256, 0),
        admin_token=section.text("admin_token", ""),
    )
    if cfg.callers_tls.authority:
        section.fail("callers_tls", "callers show keys, not certificates: no authority here")
    section.close()
    return cfg


def checked(text: str, name: str, build: Callable[[Section], T]) -> T:
    """Return what ``build`` makes of the settings in ``text``; raises SettingsError."""
    faults = Faults(name)
    cfg = load(text, faults, build)
    if faults.all():
        raise SettingsError(faults.all())
    return cast(T, cfg)


def text_of(path: str) -> str:
    """Return the text of a settings file; raises SettingsError."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError((f"{path}:1: file: cannot be read: {exc}",)) from exc


def parse(text: str, name: str = "settings") -> Settings:
    """Return the checked settings in ``text``; raises SettingsError."""
    return checked(text, name, _build)


def read(path: str) -> Settings:
    """Return the checked settings in the file at ``path``; raises SettingsError."""
    return parse(text_of(path), path)
