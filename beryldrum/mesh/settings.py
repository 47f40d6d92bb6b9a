"""The settings of a mesh node, read from YAML and validated.

:func:`parse` raises :class:`~beryldrum.errors.SettingsError` with all faults, each with
its line, its field and what was expected.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..settings import is_address, parse_with, read_file
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
    config_deadline_ms: float = 2_000.0
    """Time within which a new configuration must be in force on all nodes."""
    cold_rate_overshoot: float = 0.0
    """Multiple of a cold target's rate that it may get in any second, 0 for no limit."""
    cold_rate_slack: float = 0.0
    """Requests that a cold target may get in any second in addition."""
    file_descriptors: int = 4_096
    """Descriptors that the process may have open."""
    transfer_cost_ms_per_kb: float = 5.0
    """Price of a kilobyte between data centres, as the time in milliseconds that a caller
    would rather wait."""
    regions: Mapping[str, str] = MappingProxyType({})
    """The region of each data centre."""


def _address(section: Section, field: str, default: str | None = None) -> str:
    value = section.string(field, default)
    if value and not is_address(value):
        section.add_problem(field, "expected ip:port")
    return value


def _regions(section: Section) -> dict[str, str]:
    regions = {name: section.string(name) for name in section.names()}
    section.reject_unknown_fields()
    return regions


def _build(section: Section) -> MeshSettings:
    base = MeshSettings("", "", "", "", "", "", "", "", "", 0)
    cfg = MeshSettings(
        name=section.string("name"),
        data_centre=section.string("data_centre"),
        service=section.string("service", ""),
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
        first_start=section.boolean("first_start", False),
        log_level=section.choice("log_level", ("debug", "info", "warning", "error"), "info"),
        config_deadline_ms=section.number(
            "config_deadline_ms", 500, 86_400_000, base.config_deadline_ms
        ),
        cold_rate_overshoot=section.number("cold_rate_overshoot", 0, 100, 0.0),
        cold_rate_slack=section.number("cold_rate_slack", 0, 1_000_000, 0.0),
        file_descriptors=section.integer("file_descriptors", 256, 1_048_576, base.file_descriptors),
        transfer_cost_ms_per_kb=section.number(
            "transfer_cost_ms_per_kb", 0, 10_000, base.transfer_cost_ms_per_kb
        ),
        regions=_regions(section.section("regions")),
    )
    section.reject_unknown_fields()
    return cfg


def parse(text: str, name: str = "settings") -> MeshSettings:
    """Return the validated settings in ``text``; raises SettingsError.

    ``name`` stands for the file in messages.
    """
    return parse_with(text, name, _build)


def read(path: str) -> MeshSettings:
    """Return the validated settings in the file at ``path``; raises SettingsError."""
    return parse(read_file(path), path)
