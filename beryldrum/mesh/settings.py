"""The settings of a mesh node, read from YAML and validated.

:func:`parse` raises :class:`~beryldrum.errors.SettingsError` with all faults, each with
its line, its field and what was expected.
"""

from typing import NamedTuple

from ..settings import checked, is_address, text_of
from ..yamlfile import Section

__all__ = ["MeshSettings", "parse", "read"]


class MeshSettings(NamedTuple):
    """The settings of one mesh node. Addresses are ``ip:port``."""

    name: str
    data_centre: str
    service: str
    outbound: str
    nodes: str
    ready: str
    control: str
    target: str
    """Address of the target on this host."""
    store: str
    memory_mb: int
    metrics: str = ""
    advertised: str = ""
    """Address at which other nodes reach this one, if it is not ``nodes``."""
    key_withdrawal_ms: float = 5_000.0
    """Time within which a withdrawn key must stop working on all nodes."""
    stop_s: float = 6.0
    """Time between SIGTERM and the kill of the process; the node stops within it."""
    retry_ratio: float = 0.2
    """Retries allowed in the fleet, as a share of its requests."""
    retry_slack: float = 50.0
    """Retries allowed in the fleet in addition, per ten seconds."""
    rate_tolerance: float = 0.0
    """Share of an organisation's rate by which that may be exceeded."""
    rate_tolerance_requests: float = 0.0
    """Number of requests by which its burst may be exceeded."""
    first_start: bool = False
    """Whether the whole fleet starts for the first time, so that no rate was used before."""
    log_level: str = "info"


def _address(section: Section, field: str, default: str | None = None) -> str:
    value = section.text(field, default)
    if value and not is_address(value):
        section.fail(field, "expected ip:port")
    return value


def _build(section: Section) -> MeshSettings:
    base = MeshSettings("", "", "", "", "", "", "", "", "", 0)
    cfg = MeshSettings(
        name=section.text("name"),
        data_centre=section.text("data_centre"),
        service=section.text("service", ""),
        outbound=_address(section, "outbound"),
        nodes=_address(section, "nodes"),
        ready=_address(section, "ready"),
        control=_address(section, "control"),
        target=_address(section, "target"),
        store=_address(section, "store"),
        memory_mb=section.integer("memory_mb", 32, 1_048_576, 256),
        metrics=_address(section, "metrics", ""),
        advertised=_address(section, "advertised", ""),
        key_withdrawal_ms=section.number("key_withdrawal_ms", 1_000, 86_400_000, 5_000),
        stop_s=section.number("stop_s", 0, 3_600, base.stop_s),
        retry_ratio=section.number("retry_ratio", 0, 10, base.retry_ratio),
        retry_slack=section.number("retry_slack", 0, 1_000_000, base.retry_slack),
        rate_tolerance=section.number("rate_tolerance", 0, 1, 0.0),
        rate_tolerance_requests=section.number("rate_tolerance_requests", 0, 1_000_000, 0.0),
        first_start=section.flag("first_start", False),
        log_level=section.choice("log_level", ("debug", "info", "warning", "error"), "info"),
    )
    section.close()
    return cfg


def parse(text: str, name: str = "settings") -> MeshSettings:
    """Return the validated settings in ``text``; raises SettingsError.

    ``name`` stands for the file in messages.
    """
    return checked(text, name, _build)


def read(path: str) -> MeshSettings:
    """Return the validated settings in the file at ``path``; raises SettingsError."""
    return parse(text_of(path), path)
