"""Data residency: the data centres that a request may be processed in.

A route or an organisation may name regions. A request for which any are named is sent,
with its body, only to nodes in one of them; where several lists apply, the region must be
in each. A call that a target makes has the lists of its own route and of the organisation
whose request it serves, since it carries that organisation's data.
"""

from collections.abc import Callable, Mapping, Sequence

from .directory import Peer

__all__ = ["ANY_REGION", "Regions", "Residency", "allowed_regions"]

Regions = frozenset[str] | None
"""The regions that a request may go to. ``None`` stands for any, an empty set for none."""

ANY_REGION: Regions = None


def allowed_regions(*lists: frozenset[str]) -> Regions:
    """Return the regions that are in all lists; an empty list does not restrict them."""
    named = [regions for regions in lists if regions]
    return frozenset.intersection(*named) if named else ANY_REGION


class Residency:
    """Tells which nodes may get a request.

    ``region_by_data_centre`` returns the settings' mapping. A data centre that is missing
    in it is in no region, so it gets no request that is restricted to some.
    """

    def __init__(self, region_by_data_centre: Callable[[], Mapping[str, str]]) -> None:
        self._region_by_data_centre = region_by_data_centre

    def permitted(self, peers: Sequence[Peer], regions: Regions) -> Sequence[Peer]:
        """Return the nodes among ``peers`` that a request of ``regions`` may be sent to."""
        if regions is None:
            return peers
        known = self._region_by_data_centre()
        return [peer for peer in peers if known.get(peer.member.data_centre) in regions]
