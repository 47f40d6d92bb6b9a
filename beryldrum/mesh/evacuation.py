"""Which data centres the operator has evacuated: no request goes to their targets.

A node learns of an evacuation from the store or from another node. Of two entries for a
data centre the one with the higher stamp, the era and position of the store's record, is
the newer one.

The store may be restored from an older copy, which begins a new era. Until the operator has
written again what the copy lacks, the copy proves neither that an evacuation is in force nor
that it was cancelled. So a read shortly after the start of an era changes only what was
written since, and what this node knows nothing of. Such an entry has the lowest stamp, since
another node may know better.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .frames import Evacuation

__all__ = ["EvacuationRead", "Evacuations"]

MAX_ENTRIES = 64
"""Largest number of data centres of which an entry is kept; a fleet has some ten."""

MAX_NAME_CHARS = 128
"""Length above which a name is not that of a data centre."""


class EvacuationRead(NamedTuple):
    """What a read of the store says of evacuations.

    ``records`` has for each data centre whether it is evacuated, None if the record is
    malformed, and the position: the length of the log up to and including the record. The
    log had the length ``end``. In a ``complete`` read, a data centre without a record is not
    evacuated.
    """

    records: dict[str, tuple[bool | None, int]]
    end: int
    complete: bool
    era: int = 0


class Evacuations:
    """The newest entry of each data centre that is or was evacuated."""

    def __init__(self) -> None:
        self.on_change: list[Callable[[], None]] = []
        """Called when a data centre was evacuated or an evacuation was cancelled."""
        self._entries: dict[str, Evacuation] = {}
        self._era = -1
        self._era_began_at = 0
        """Length of the log at this node's first read of the era."""
        self._end = 0
        """Greatest length of the log that this node has read in this era."""
        self._known_end = 0
        """That of the era before; at this node's first read, the length then."""
        self._shown: set[str] = set()
        """Data centres that the store has shown as evacuated in this era."""
        self._complete = (0, 0)
        """Era and end of the last read that proves which data centres are not evacuated."""
        self._malformed: set[str] = set()

    def evacuated(self, data_centre: str) -> bool:
        """Tell whether no request may go to the targets of a data centre."""
        entry = self._entries.get(data_centre)
        return entry is not None and entry.evacuated

    def entries(self) -> list[Evacuation]:
        """Return all entries, for messages to other nodes."""
        return list(self._entries.values())

    def merge(self, entries: Iterable[Evacuation]) -> bool:
        """Take over the entries of another node that are newer; returns whether any was."""
        newer = [entry for entry in entries if self._is_newer(entry)]
        self._put(newer)
        return bool(newer)

    def observe(self, read: EvacuationRead, settled: bool) -> bool:
        """Apply a read of the store; returns whether a data centre's state has changed.

        ``settled`` tells that what the operator wrote before the era is in the store again.
        """
        if read.era < self._era:
            return False
        if read.era > self._era:
            self._known_end = self._end if self._era >= 0 else read.end
            self._era, self._era_began_at, self._shown = read.era, read.end, set()
            self._end = 0
        self._end = max(self._end, read.end)
        entries = []
        for name, (evacuated, position) in read.records.items():
            if evacuated is None or not 0 < len(name) <= MAX_NAME_CHARS:
                continue
            if settled or self._is_certain(name, position):
                entries.append(Evacuation(name, evacuated, read.era, position))
            elif evacuated and name not in self._entries:
                entries.append(Evacuation(name, True, 0, 0))
            if evacuated:
                self._shown.add(name)
        if read.complete:
            self._malformed = {n for n, (state, _) in read.records.items() if state is None}
            for name in self._entries.keys() - read.records.keys():
                if settled or name in self._shown:
                    entries.append(Evacuation(name, False, read.era, read.end))
                self._shown.discard(name)
            if settled:
                self._complete = (read.era, read.end)
        return self._put(entries)

    def _is_certain(self, name: str, position: int) -> bool:
        """Tell whether a record is of this era, or newer than what is known of the era before."""
        known = self._entries.get(name)
        known_end = self._known_end
        if known is not None and known.era < self._era:
            known_end = max(known_end, known.position)
        return position > min(self._era_began_at, known_end)

    def _is_newer(self, entry: Evacuation) -> bool:
        stamp = (entry.era, entry.position)
        known = self._entries.get(entry.data_centre)
        if known is not None:
            return stamp > (known.era, known.position)
        if entry.data_centre in self._malformed:
            return True
        return entry.evacuated and (stamp > self._complete or self._complete == (0, 0))

    def _put(self, entries: list[Evacuation]) -> bool:
        changed = False
        for entry in entries:
            name, known = entry.data_centre, self._entries.get(entry.data_centre)
            if known is not None and (entry.era, entry.position) <= (known.era, known.position):
                continue
            if known is None and not self._make_room():
                continue
            changed |= entry.evacuated != self.evacuated(name)
            self._entries[name] = entry
        if changed:
            for callback in self.on_change:
                callback()
        return changed

    def _make_room(self) -> bool:
        """Drop the oldest entry of a cancelled evacuation if there are too many."""
        if len(self._entries) < MAX_ENTRIES:
            return True
        ended = [entry for entry in self._entries.values() if not entry.evacuated]
        if ended:
            oldest = min(ended, key=lambda entry: (entry.era, entry.position))
            del self._entries[oldest.data_centre]
        return bool(ended)
