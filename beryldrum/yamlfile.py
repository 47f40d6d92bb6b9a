"""Validation of YAML files, with all problems of a file reported at once.

A :class:`Section` wraps a mapping of the file and knows the line of each field.
The caller reads the fields by type. A missing field or one of the wrong type is
added to a :class:`Problems`, and so is each field that the caller never read.
"""

from collections.abc import Callable, Iterator
from typing import Any

import yaml

__all__ = ["Problems", "Section", "load"]

YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""The C loader where available, because documents are parsed on the event loop."""


class Problems:
    """Collects the problems of the file ``name``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._entries: list[tuple[int, str]] = []

    def add(self, line: int, field: str, expected: str) -> None:
        """Add a problem: ``field`` on ``line`` is not what was ``expected``."""
        self._entries.append((line, f"{self.name}:{line}: {field}: {expected}"))

    def all(self) -> tuple[str, ...]:
        """Return the problems as ``file:line: field: expected``, sorted by line."""
        return tuple(text for _, text in sorted(self._entries))


class Section:
    """A mapping in a YAML file, with the line of each of its fields."""

    def __init__(self, node: yaml.Node | None, path: str, problems: Problems) -> None:
        self._path = path
        self._problems = problems
        self._fields: dict[str, yaml.Node] = {}
        self._fields_read: set[str] = set()
        self.line = 1 if node is None else node.start_mark.line + 1
        if isinstance(node, yaml.MappingNode):
            self._read_fields(node)
        elif node is not None:
            problems.add(self.line, path or "document", "expected a mapping")

    def _read_fields(self, node: yaml.MappingNode) -> None:
        for key, value in node.value:
            name = str(key.value)
            if name in self._fields:
                line = key.start_mark.line + 1
                self._problems.add(line, self._qualified_name(name), "stated twice")
            self._fields[name] = value

    def _qualified_name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def _line_of(self, field: str) -> int:
        node = self._fields.get(field)
        return self.line if node is None else node.start_mark.line + 1

    def add_problem(self, field: str, expected: str) -> None:
        """Add a problem: ``field`` is not what was ``expected``."""
        self._problems.add(self._line_of(field), self._qualified_name(field), expected)

    def names(self) -> Iterator[str]:
        """Yield the names of the fields present, in file order."""
        yield from self._fields

    def _read_value(self, field: str, default: Any, expected: str) -> Any:
        self._fields_read.add(field)
        node = self._fields.get(field)
        if node is None:
            if default is None:
                self.add_problem(field, f"missing, expected {expected}")
            return default
        return yaml.SafeLoader("").construct_object(node, deep=True)

    def string(self, field: str, default: str | None = None) -> str:
        """Return a string; the field is required if ``default`` is None."""
        value = self._read_value(field, default, "a string")
        if value is not None and not isinstance(value, str):
            self.add_problem(field, "expected a string")
            return ""
        return value or ""

    def number(
        self,
        field: str,
        low: float,
        high: float,
        default: float | None = None,
    ) -> float:
        """Return a number between ``low`` and ``high``, both inclusive."""
        expected = f"a number from {low:g} to {high:g}"
        value = self._read_value(field, default, expected)
        if isinstance(value, bool) or not isinstance(value, int | float):
            if value is not None:
                self.add_problem(field, f"expected {expected}")
            return low
        if not low <= value <= high:
            self.add_problem(field, f"expected {expected}")
        return value

    def integer(self, field: str, low: int, high: int, default: int | None = None) -> int:
        """Return an integer between ``low`` and ``high``, both inclusive."""
        value = self.number(field, low, high, default)
        if value != int(value):
            self.add_problem(field, "expected a whole number")
        return int(value)

    def boolean(self, field: str, default: bool | None = None) -> bool:
        """Return a boolean; the field is required if ``default`` is None."""
        value = self._read_value(field, default, "true or false")
        if value is not None and not isinstance(value, bool):
            self.add_problem(field, "expected true or false")
        return bool(value)

    def choice(self, field: str, options: tuple[str, ...], default: str | None = None) -> str:
        """Return one of ``options``; the first one after a problem."""
        value = self.string(field, default)
        if value and value not in options:
            self.add_problem(field, "expected one of " + ", ".join(options))
            return options[0]
        return value or options[0]

    def strings(self, field: str, default: tuple[str, ...] | None = ()) -> tuple[str, ...]:
        """Return a list of strings; the field is required if ``default`` is None."""
        value = self._read_value(field, default, "a list of strings")
        if value is None:
            return ()
        if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
            self.add_problem(field, "expected a list of strings")
            return ()
        return tuple(value)

    def section(self, field: str) -> "Section":
        """Return the mapping in ``field``, an empty one if absent."""
        self._fields_read.add(field)
        return Section(self._fields.get(field), self._qualified_name(field), self._problems)

    def sections(self, field: str) -> list["Section"]:
        """Return the list of mappings in ``field``, an empty one if absent."""
        self._fields_read.add(field)
        node = self._fields.get(field)
        if node is None:
            return []
        if not isinstance(node, yaml.SequenceNode):
            self.add_problem(field, "expected a list")
            return []
        name = self._qualified_name(field)
        return [Section(n, f"{name}[{i}]", self._problems) for i, n in enumerate(node.value)]

    def reject_unknown_fields(self) -> None:
        """Add a problem for each field that has not been read."""
        for name in self._fields:
            if name not in self._fields_read:
                self.add_problem(name, "unknown field")


def load(text: str, problems: Problems, build: Callable[[Section], Any]) -> Any:
    """Parse ``text`` and return the result of ``build`` for its root section.

    Problems are added to ``problems``; the caller raises the error. Returns None
    if the text is empty or not valid YAML.
    """
    try:
        node = yaml.compose(text, Loader=YAML_LOADER)
    except yaml.MarkedYAMLError as exc:
        line = 1 if exc.problem_mark is None else exc.problem_mark.line + 1
        problems.add(line, "document", f"not YAML: {exc.problem}")
        return None
    except yaml.YAMLError as exc:
        problems.add(1, "document", f"not YAML: {exc}")
        return None
    if node is None:
        problems.add(1, "document", "is empty")
        return None
    return build(Section(node, "", problems))
