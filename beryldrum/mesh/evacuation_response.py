"""What a node does when an evacuation begins or ends, in the order in which it must happen."""

from collections.abc import Callable
from typing import Protocol

from .capacity import ServiceCapacity
from .directory import Directory
from .explain import Explainer
from .local_target import LocalTarget

__all__ = ["EvacuationResponse", "EvacuationSource"]


class EvacuationSource(Protocol):
    """The evacuations that are in force; ``on_change`` is called after each change."""

    on_change: list[Callable[[], None]]

    def evacuated(self, data_centre: str) -> bool:
        """Tell whether no request may go to the targets of a data centre."""


class EvacuationResponse:
    """Applies evacuations to the choice of targets, the admission and the own target."""

    def __init__(
        self,
        directory: Directory,
        capacity: ServiceCapacity,
        target: LocalTarget,
        explainer: Explainer,
    ) -> None:
        self._directory = directory
        self._capacity = capacity
        self._target = target
        self._explainer = explainer

    def follow(self, evacuations: EvacuationSource) -> None:
        """Apply the evacuations in force and all changes from now on."""
        self._directory.evacuated = evacuations.evacuated
        evacuations.on_change.append(self.apply)
        self.apply()

    def apply(self) -> None:
        """Apply the evacuations in force.

        The admission is reduced before the target on this host refuses its queue, which
        the entries then send elsewhere.
        """
        self._directory.evacuations_changed()
        expected = self._capacity.evacuations_changed()
        evacuated = self._directory.evacuated_data_centres()
        if evacuated or self._target.evacuated:
            self._explainer.event(
                "evacuations",
                data_centres=sorted(evacuated),
                expected={name: round(used, 3) for name, used in expected.items()},
            )
        self._target.evacuate(self._directory.own.data_centre in evacuated)
