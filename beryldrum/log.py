"""The platform's append-only log, as this system uses it.

:class:`Log` is the interface; :class:`HttpLog` speaks to the platform. A failed
append is one of two types: :class:`~beryldrum.errors.LogDownError` says that nothing
was accepted, :class:`~beryldrum.errors.AppendUnknownError` that it may have been.
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

__all__ = ["Batch", "HttpLog", "Log", "append_settled"]

READ_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 3.0
SETTLE_TRIES = 8
SETTLE_PAUSE_S = 0.25


class Batch(NamedTuple):
    """Records read at once; ``head`` is the newest offset, ``first`` the oldest kept."""

    entries: list[records.LogRecord]
    first: int
    head: int


class _Records(TypedDict):
    """The log's answer to a read; the bytes travel as base64."""

    records: list[tuple[int, int, bytes]]
    first: int
    head: int


class _Truncated(TypedDict):
    """The log's answer to a read before its oldest record."""

    first: int


class _Appended(TypedDict):
    """The log's answer to an append."""

    offset: int


class Log(ABC):
    """An append-only log with offsets that start at 1."""

    @abstractmethod
    async def read(self, after: int, wait_s: float) -> Batch:
        """Return the records after an offset, waiting up to ``wait_s`` for one.

        Raises LogTruncatedError, LogDownError or LogUnresponsiveError.
        """

    @abstractmethod
    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        Raises LogDownError when it was not accepted, AppendUnknownError when it may be.
        """

    async def close(self) -> None:  # noqa: B027
        """Release what the log holds open."""


class HttpLog(Log):
    """The platform's log over HTTP."""

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
                return self._batch(resp.status, await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as exc:
            raise LogUnresponsiveError(type(exc).__name__) from exc

    def _batch(self, status: int, body: bytes) -> Batch:
        if status == 503:
            raise LogDownError("the log says that it is down")
        if status not in (200, 410):
            raise LogUnresponsiveError(f"status {status}")
        if status == 410:
            raise LogTruncatedError(msgspec.json.decode(body, type=_Truncated)["first"])
        answer = msgspec.json.decode(body, type=_Records)
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
            raise LogDownError("no connection to the log") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise AppendUnknownError(type(exc).__name__) from exc
        if resp.status == 429:
            raise LogDownError("too many appends")
        if resp.status != 200:
            # A 503 too: what stands before the log may answer so after it took effect.
            raise AppendUnknownError(f"status {resp.status}")
        try:
            return msgspec.json.decode(body, type=_Appended)["offset"]
        except msgspec.DecodeError as exc:
            raise AppendUnknownError(str(exc)) from exc


async def find(log: Log, after: int, record_id: str) -> int | None:
    """Return the offset after ``after`` of the record with an id, or None."""
    while True:
        batch = await log.read(after, 0)
        for entry in batch.entries:
            with contextlib.suppress(RecordError):
                if records.decode(entry.data).id == record_id:
                    return entry.offset
            after = entry.offset
        if after >= batch.head:
            return None


async def append_settled(log: Log, record: records.Record, after: int) -> int:
    """Append ``record`` and return its first offset, settling lost answers.

    ``after`` is an offset known to precede the record. Raises AppendUnknownError when
    the log stays away, LogDownError when it was surely never accepted.
    """
    data = records.encode(record)
    unknown = False
    for _ in range(SETTLE_TRIES):
        try:
            if unknown:
                offset = await find(log, after, record.id)
                if offset is not None:
                    return offset
            return await log.append(data)
        except AppendUnknownError:
            unknown = True
        except (LogDownError, LogUnresponsiveError):
            pass
        await asyncio.sleep(SETTLE_PAUSE_S)
    if unknown:
        raise AppendUnknownError(f"record {record.id} may have been accepted")
    raise LogDownError("the log accepted nothing")
