"""Client of the platform's append-only log.

:class:`Log` is the interface, :class:`HttpLog` its implementation over HTTP. An append
fails in one of two ways: with :class:`~beryldrum.errors.LogDownError` the record was
not accepted, with :class:`~beryldrum.errors.AppendUnknownError` it may have been.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from typing import NamedTuple, TypedDict

import aiohttp
import msgspec

from . import records
from .errors import (
    AppendUnknownError,
    LogDownError,
    LogTruncatedError,
    LogUnresponsiveError,
    RecordError,
)

__all__ = ["Batch", "HttpLog", "Log", "append_confirmed"]

READ_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 3.0
MAX_APPEND_ATTEMPTS = 8
APPEND_RETRY_DELAY_S = 0.25


class Batch(NamedTuple):
    """Result of a read; ``head`` is the newest offset, ``first`` the oldest retained."""

    entries: list[records.LogRecord]
    first: int
    head: int


class _ReadResponse(TypedDict):
    """Response to a read; ``records`` are offset, time in ms and data in base64."""

    records: list[tuple[int, int, bytes]]
    first: int
    head: int


class _TruncatedResponse(TypedDict):
    """Response to a read of records that have expired."""

    first: int


class _AppendResponse(TypedDict):
    """Response to an append."""

    offset: int


class Log(ABC):
    """An append-only log with offsets that start at 1."""

    @abstractmethod
    async def read(self, after: int, wait_s: float) -> Batch:
        """Return the records after offset ``after``; wait up to ``wait_s`` s for the first.

        Raises LogTruncatedError, LogDownError or LogUnresponsiveError.
        """

    @abstractmethod
    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        Raises LogDownError if it was not accepted, AppendUnknownError if it may have been.
        """

    async def close(self) -> None:  # noqa: B027
        """Release the resources of the log."""


class HttpLog(Log):
    """The platform's log over HTTP; ``url`` is its base URL."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session

    async def read(self, after: int, wait_s: float) -> Batch:
        params = {"after": str(after), "wait_s": str(wait_s)}
        timeout = aiohttp.ClientTimeout(total=wait_s + READ_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url + "/records", params=params, timeout=timeout
            ) as resp:
                return self._decode_batch(resp.status, await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise LogUnresponsiveError(type(exc).__name__) from exc

    def _decode_batch(self, status: int, body: bytes) -> Batch:
        if status == 503:
            raise LogDownError("the log reported that it is unavailable (status 503)")
        if status not in (200, 410):
            raise LogUnresponsiveError(f"status {status}")
        if status == 410:
            raise LogTruncatedError(msgspec.json.decode(body, type=_TruncatedResponse)["first"])
        answer = msgspec.json.decode(body, type=_ReadResponse)
        entries = [records.LogRecord(*row) for row in answer["records"]]
        return Batch(entries, answer["first"], answer["head"])

    async def append(self, data: bytes) -> int:
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        try:
            async with self._session.post(
                self._url + "/records", data=data, timeout=timeout
            ) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError as exc:
            raise LogDownError("cannot connect to the log") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise AppendUnknownError(type(exc).__name__) from exc
        if resp.status == 429:
            raise LogDownError("the log refused the append by its rate limit (status 429)")
        if resp.status != 200:
            # Even a 503: a proxy in front of the log may send one after the append took effect.
            raise AppendUnknownError(f"status {resp.status}")
        try:
            return msgspec.json.decode(body, type=_AppendResponse)["offset"]
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(str(exc)) from exc


async def find_record(log: Log, after: int, record_id: str) -> int | None:
    """Return the offset of the record with id ``record_id``, or None.

    Only records after offset ``after`` are searched.
    """
    while True:
        batch = await log.read(after, 0)
        for entry in batch.entries:
            with contextlib.suppress(RecordError):
                if records.decode(entry.data).id == record_id:
                    return entry.offset
            after = entry.offset
        if after >= batch.head:
            return None


async def append_confirmed(log: Log, record: records.Record, after: int) -> int:
    """Append ``record``, retrying until confirmed, and return its first offset.

    After an append whose outcome is unknown, the log is searched for the record's id
    before the next attempt, so that an accepted record is not appended again. ``after``
    is an offset known to precede the record. When all attempts have failed, raises
    AppendUnknownError if the record may have been accepted, else LogDownError.
    """
    data = records.encode(record)
    outcome_unknown = False
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            if outcome_unknown:
                offset = await find_record(log, after, record.id)
                if offset is not None:
                    return offset
            return await log.append(data)
        except AppendUnknownError:
            outcome_unknown = True
        except (LogDownError, LogUnresponsiveError):
            pass
        await asyncio.sleep(APPEND_RETRY_DELAY_S)
    if outcome_unknown:
        raise AppendUnknownError(f"record {record.id} may have been accepted")
    raise LogDownError("the log accepted none of the append attempts")
