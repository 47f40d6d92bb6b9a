"""HTTP client of the platform's metadata store."""

import base64
import struct
import time
from typing import Annotated, NamedTuple
from urllib.parse import quote

import msgspec

from ..errors import AnswerLostError, LogDownError, LogUnresponsiveError, TargetUnreachedError
from ..mesh.client import Pool, Response
from ..mesh.decoding import DECODE_ERRORS
from ..mesh.evacuation import EvacuationRead
from ..mesh.frames import Address, Member
from ..mesh.store import Departures, Registry, Store, Watch

__all__ = ["PlatformStore"]

OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ERA_HEADER = b"store-era"
MAX_ERA = 2**53
MEMBERS_TOPIC = "keyed.beryldrum-nodes"
DEPARTURES_PREFIX = "left:"
"""Begins the keys of departures, in the topic of the members: one read returns both."""

ERA_KEY = "era"
"""Key of the last settled era, in the same topic."""

TIMEOUT_S = 1.0
"""Timeout of calls that do not wait for changes; a slow store takes a quarter of a second
for them, instead of a few milliseconds."""

END_AND_FIRST_OFFSET = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


Era = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Item(msgspec.Struct):
    key: str
    value: str
    """The value, encoded in base64."""
    offset: Annotated[int, msgspec.Meta(ge=0, le=2**53)] = 0


class _LatestPage(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end_offset: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    era: int = 0


_WallMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A wall-clock time in milliseconds."""


class _Departures(msgspec.Struct, array_like=True):
    targets: dict[str, _WallMs]
    recorded_ms: _WallMs


class _Record(NamedTuple):
    key: str
    value: bytes


_page_decoder = msgspec.json.Decoder(_LatestPage)
_member_decoder = msgspec.msgpack.Decoder(Member)
_departures_decoder = msgspec.msgpack.Decoder(_Departures)


class PlatformStore(Store):
    """The store at a ``host:port`` address.

    Calls may overlap: a call that waits for changes occupies a connection of its own.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = Pool(address)

    async def configuration(self) -> Watch:
        pages = await self._pages(OPERATOR_TOPIC)
        # What is written while the pages are read is read again from the first one's end.
        end, era = pages[0].end_offset, pages[0].era
        if any(page.era != era for page in pages):
            raise LogDownError(f"topic {OPERATOR_TOPIC}: era changed between pages")
        items = [item for page in pages for item in page.items]
        texts = [item.value for item in items if item.key == CONFIG_KEY]
        try:
            text = base64.b64decode(texts[0]) if texts else None
        except ValueError as exc:
            raise LogDownError(f"malformed configuration record: {exc}") from exc
        evacuations = EvacuationRead({}, end, True, era)
        for item in items:
            _add_evacuation(item.key, _decoded(item.value), item.offset, evacuations)
        return Watch(text, end, 0.0, evacuations, era)

    async def watch(self, position: int, wait_s: float) -> Watch:
        wait_ms = int(wait_s * 1000)
        started_at = time.monotonic()
        response = await self._call(
            "GET",
            f"/log-read?topic={OPERATOR_TOPIC}&part=0&from={position}&wait_ms={wait_ms}",
            timeout_s=wait_s + TIMEOUT_S,
        )
        if response.status == 410:
            return await self.configuration()
        era = _era(response)
        try:
            end, _ = END_AND_FIRST_OFFSET.unpack_from(response.body)
        except struct.error as exc:
            raise LogDownError(f"malformed read of topic {OPERATOR_TOPIC}: {exc}") from exc
        records = _parse_records(response.body[END_AND_FIRST_OFFSET.size :])
        texts = [record.value for record in records if record.key == CONFIG_KEY and record.value]
        if position + len(records) < end:
            # There are more records than one answer holds, or some were dropped before
            # they could be read, so the records read do not include the newest.
            return await self.configuration()
        if records:
            evacuations = EvacuationRead({}, end, False, era)
            for number, record in enumerate(records):
                _add_evacuation(record.key, record.value, position + number, evacuations)
            return Watch(texts[-1] if texts else None, end, 0.0, evacuations, era)
        waited = time.monotonic() - started_at >= wait_s
        return Watch(None, position, wait_s if waited else 0.0, None, era)

    async def register(self, member: Member) -> None:
        await self._put({member.address: msgspec.msgpack.encode(member)})

    async def deregister(self, address: str) -> None:
        await self._put({address: b""})

    async def record_departures(self, address: str, departures: Departures) -> None:
        value = msgspec.msgpack.encode(_Departures(*departures))
        await self._put({DEPARTURES_PREFIX + address: value})

    async def remove_departures(self, addresses: list[str]) -> None:
        await self._put({DEPARTURES_PREFIX + address: b"" for address in addresses})

    async def record_era(self, number: int) -> None:
        await self._put({ERA_KEY: msgspec.msgpack.encode(number)})

    async def _put(self, values: dict[str, bytes]) -> None:
        records = [bytes((len(key),)) + key.encode() + value for key, value in values.items()]
        data = b"".join(LENGTH.pack(len(record)) + record for record in records)
        await self._call("POST", f"/log-append?topic={MEMBERS_TOPIC}&part=0", data)

    async def registry(self) -> Registry:
        pages = await self._pages(MEMBERS_TOPIC)
        found = Registry([], {}, [], min(page.era for page in pages))
        for page in pages:
            for item in page.items:
                if item.key == ERA_KEY:
                    found = found._replace(settled_era=_settled_era(item))
                else:
                    _add_to_registry(item, found)
        return found

    async def _pages(self, topic: str) -> list[_LatestPage]:
        pages: list[_LatestPage] = []
        after, more = "", True
        while more:
            page = await self._page(topic, after)
            pages.append(page)
            last = page.items[-1].key if page.items else ""
            more, after = page.has_more and last > after, last
        return pages

    async def _page(self, topic: str, after: str) -> _LatestPage:
        # Another writer's key may contain anything.
        cursor = f"&after={quote(after, safe=':')}" if after else ""
        response = await self._call("GET", f"/log-newest?topic={topic}&part=0{cursor}")
        try:
            page = _page_decoder.decode(response.body)
        except DECODE_ERRORS as exc:
            raise LogDownError(f"malformed page of topic {topic}: {exc}") from exc
        page.era = _era(response)
        return page

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = TIMEOUT_S
    ) -> Response:
        """Send a request and return its answer, whose status is 200 or 410.

        Raises LogDownError if the store answered with another status and so did nothing;
        LogUnresponsiveError if it gave no complete answer within ``timeout_s`` seconds: the call
        may have taken effect.
        """
        size = b"Content-Length: %d\r\n" % len(body) if method == "POST" else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n".encode()
        try:
            response = await self._pool.request(head + size + b"\r\n" + body, timeout_s)
        except (TargetUnreachedError, AnswerLostError, TimeoutError) as exc:
            raise LogUnresponsiveError(f"{path}: {exc!r}") from exc
        if response.status in (200, 410):
            return response
        raise LogDownError(f"{path}: status {response.status}")

    def close(self) -> None:
        self._pool.close()


def _era(response: Response) -> int:
    """Return the era in which the store answered; a malformed one counts as absent."""
    value = response.header(ERA_HEADER).strip()
    return min(MAX_ERA, int(value)) if value.isdigit() and len(value) < 20 else 0


def _decoded(value: str) -> bytes:
    try:
        return base64.b64decode(value)
    except ValueError:
        return b"malformed"


def _add_evacuation(key: str, value: bytes, offset: int, read: EvacuationRead) -> None:
    """Add what a record of the operator says of evacuations, if its key is of one."""
    if not key.startswith(EVACUATION_PREFIX):
        return
    evacuated: bool | None = False
    if value:
        try:
            evacuated = True if isinstance(msgspec.json.decode(value), dict) else None
        except DECODE_ERRORS:
            evacuated = None
    name = key.removeprefix(EVACUATION_PREFIX)
    if evacuated is not None or name not in read.records:
        read.records[name] = (evacuated, offset + 1)


def _parse_records(data: bytes) -> list[_Record]:
    records, start = [], 0
    while start + LENGTH.size < len(data):
        (length,) = LENGTH.unpack_from(data, start)
        start += LENGTH.size
        record = data[start : start + length]
        start += length
        if not record:
            continue
        key_end = 1 + record[0]
        records.append(_Record(record[1:key_end].decode("utf-8", "replace"), record[key_end:]))
    return records


def _settled_era(item: _Item) -> int:
    try:
        return msgspec.msgpack.decode(base64.b64decode(item.value), type=Era)
    except DECODE_ERRORS:
        return 0


def _add_to_registry(item: _Item, registry: Registry) -> None:
    try:
        value = base64.b64decode(item.value)
        if item.key.startswith(DEPARTURES_PREFIX):
            record = _departures_decoder.decode(value)
            address = msgspec.convert(item.key.removeprefix(DEPARTURES_PREFIX), Address)
            registry.departures[address] = Departures(record.targets, record.recorded_ms)
        else:
            registry.members.append(_member_decoder.decode(value))
    except DECODE_ERRORS:
        registry.unreadable.append(item.key)
