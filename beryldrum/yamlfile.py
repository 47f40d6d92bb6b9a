"""YAML files checked field by field, with every fault reported at once.

A :class:`Section` wraps a mapping of the file and knows the line of each field.
Readers take fields from it by type; what they ask for wrongly is collected in a
:class:`Faults`, and what nobody asked for is an unknown field.
"""

from collections.abc import Callable, Iterator
from typing import Any

import yaml

__all__ = ["Faults", "Section", "load"]

LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The compiled loader where the library has it: a document is read on the loop."""


class Faults:
    """The faults found in one file, in the order in which they were met."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._found: list[tuple[int, str]] = []

    def add(self, line: int, field: str, expected: str) -> None:
        """Note that ``field`` on ``line`` is not what was ``expected``."""
        self._found.append((line, f"{self.name}:{line}: {field}: {expected}"))

    def all(self) -> tuple[str, ...]:
        """Return the faults as ``file:line: field: expected``, by line."""
        return tuple(text for _, text in sorted(self._found))


class Section:
    """A mapping in a YAML file, with the line of each of its fields."""

    def __init__(self, node: yaml.Node | None, path: str, faults: Faults) -> None:
        self._path = path
        self._faults = faults
        self._fields: dict[str, yaml.Node] = {}
        self._taken: set[str] = set()
        self.line = 1 if node is None else node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            self._read_fields(node)
        elif node is not None:
            faults.add(self.line, path or "document", "expected a mapping")

    def _read_fields(self, node: yaml.MappingNode) -> None:
        for key, value in node.value:
            name = str(key.value)
            if name in self._fields:
                line = key.start_mark.line + 1
                self._faults.add(line, self._name(name), "stated twice")
            self._fields[name] = value

    def _name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def _line(self, field: str) -> int:
        node = self._fields.get(field)
        return self.line if node is None else node.start_mark.line + 1

    def fail(self, field: str, expected: str) -> None:
        """Note that ``field`` is not what was expected."""
        self._faults.add(self._line(field), self._name(field), expected)

    def names(self) -> Iterator[str]:
        """Yield the field names present, in file order."""
        yield from self._fields

    def _value(self, field: str, default: Any, expected: str) -> Any:
        self._taken.add(field)
        node = self._fields.get(field)
        if node is None:
            if default is None:
                self.fail(field, f"missing, expected {expected}")
            return default
        return yaml.SafeLoader("").construct_object(node, deep=True)

    def text(self, field: str, default: str | None = None) -> str:
        """Return a non-empty string; without ``default`` it must be present."""
        value = self._value(field, default, "a string")
        if value is not None and not isinstance(value, str):
            self.fail(field, "expected a string")
            return ""
        return value or ""

    def number(
        self,
        field: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Return a number between ``low`` and ``high``, both included."""
        expected = f"a number from {low:g} to {high:g}"
        value = self._value(field, default, expected)
        if isinstance(value, bool) or not isinstance(value, int | float):
            if value is not None:
                self.fail(field, f"expected {expected}")
            return low
        if not low <= value <= high:
            self.fail(field, f"expected {expected}")
        return value

    def integer(self, field: str, low: int, high: int, default: int | None = None) -> int:
        """Return a whole number between ``low`` and ``high``, both included."""
        value = self.number(field, low, high, default)
        if value != int(value):
            self.fail(field, "expected a whole number")
        return int(value)

    def flag(self, field: str, default: bool | None = None) -> bool:
        """Return true or false."""
        value = self._value(field, default, "true or false")
        if value is not None and not isinstance(value, bool):
            self.fail(field, "expected true or false")
        return bool(value)

    def choice(self, field: str, options: tuple[str, ...], default: str | None = None) -> str:
        """Return one of ``options``."""
        value = self.text(field, default)
        if value and value not in options:
            self.fail(field, "expected one of " + ", ".join(options))
            return options[0]
        return value or options[0]

    def texts(self, field: str, default: tuple[str, ...] | None = ()) -> tuple[str, ...]:
        """Return a list of strings."""
        value = self._value(field, default, "a list of strings")
        if value is None:
            return ()
        if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
            self.fail(field, "expected a list of strings")
            return ()
        return tuple(value)

    def section(self, field: str) -> "Section":
        """Return the mapping under ``field``, empty when absent."""
        self._taken.add(field)
        return Section(self._fields.get(field), self._name(field), self._faults)

    def sections(self, field: str) -> list["Section"]:
        """Return the mappings listed under ``field``."""
        self._taken.add(field)
        node = self._fields.get(field)
        if node is None:
            return []
        if not isinstance(node, yaml.SequenceNode):
            self.fail(field, "expected a list")
            return []
        name = self._name(field)
        return [Section(n, f"{name}[{i}]", self._faults) for i, n in enumerate(node.value)]

    def close(self) -> None:
        """Report each field that no reader took as unknown."""
        for name in self._fields:
            if name not in self._taken:
                self.fail(name, "unknown field")


def load(text: str, faults: Faults, build: Callable[[Section], Any]) -> Any:
    """Parse ``text`` and return what ``build`` makes of its root section.

    Faults go to ``faults``; the caller decides on the error to raise. Returns
    None when the text is not YAML at all.
    """
    try:
        node = yaml.compose(text, Loader=LOADER)
    except yaml.MarkedYAMLError as exc:
        line = 1 if exc.problem_mark is None else exc.problem_mark.line + 1
        faults.add(line, "document", f"not YAML: {exc.problem}")
        return None
    except yaml.YAMLError as exc:
        faults.add(1, "document", f"not YAML: {exc}")
        return None
    if node is None:
        faults.add(1, "document", "is empty")
        return None
    return build(Section(node, "", faults))
