"""The memory that bytes of other processes take, measured and not as counted."""

import asyncio
import contextlib
import gc
import tracemalloc
import unittest
from unittest import mock

from parameterized import parameterized

from beryldrum.errors import AnswerLostError
from beryldrum.mesh import client, frames
from beryldrum.mesh.client import ClientConnection
from beryldrum.mesh.document import Limits
from beryldrum.mesh.http import HttpResponse, HttpService, MemoryBudget
from beryldrum.mesh.http_listener import HttpListener
from beryldrum.mesh.links import LinkHandler, LinkProtocol

BUDGET_BYTES = 2**20
SENT_BYTES = 8 * 2**20
PEAK_BYTES = 3 * BUDGET_BYTES
"""The bytes that are counted, a buffer that grows, and the objects of the connection."""
RETAINED_BYTES = BUDGET_BYTES // 2
"""What the objects of the connections, and the event loop's debug mode, may take."""
OK = b"HTTP/1.1 200 OK\r\n"
POST = b"POST /book/1 HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"2\r\nab\r\n"
SMALL_HEADER = b"a:b\r\n"


@contextlib.contextmanager
def measured():
    """Yield a function that returns the bytes in use and their peak, without the collector."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    start = tracemalloc.get_traced_memory()[0]
    try:
        yield lambda: [value - start for value in tracemalloc.get_traced_memory()]
    finally:
        tracemalloc.stop()
        gc.enable()


def repeated(piece, size=65_536):
    """Return ``piece`` repeated to about ``size`` bytes."""
    return piece * (size // len(piece))


class _Echo(HttpService):
    """Keeps each request waiting until ``answer`` is set."""

    def __init__(self):
        self.answer = asyncio.Event()
        self.sizes = []

    def limits(self):
        return Limits(header_bytes=65_536, body_bytes=64 * 2**20)

    async def handle(self, http_request):
        self.sizes.append(len(http_request.body))
        await self.answer.wait()
        return HttpResponse(200)


class AnswerMemoryTest(unittest.IsolatedAsyncioTestCase):
    """A target that sends without end, in whatever pieces, cannot fill the memory."""

    @parameterized.expand(
        [
            ("a body in small chunks", OK + CHUNKED, SMALL_CHUNK),
            ("a body in chunks of one byte", OK + CHUNKED, b"1\r\na\r\n"),
            ("a body in large chunks", OK + CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
            ("a body without a length", OK + b"\r\n", b"xyz"),
            ("a body with a length", OK + b"Content-Length: 16000000\r\n\r\n", b"xyz"),
            ("small headers", OK, SMALL_HEADER),
            ("trailers", OK + CHUNKED + b"0\r\n", SMALL_HEADER),
            ("interim answers", b"", b"HTTP/1.1 102 W\r\na:b\r\n\r\n"),
        ]
    )
    async def test_an_endless_answer_fills_the_memory(self, _, first, piece):
        memory = MemoryBudget(BUDGET_BYTES)
        data = repeated(piece)
        with mock.patch.object(client, "MAX_RESPONSE_BYTES", 64 * 2**20), measured() as usage:
            conns = [ClientConnection(b"x-request-id", memory) for _number in range(4)]
            futs = []
            for conn in conns:
                conn.connection_made(mock.Mock(spec=asyncio.Transport))
                futs.append(conn.send(b"", b"r1", False))
            for conn in conns:
                conn.data_received(first or piece)
            for _number in range(SENT_BYTES // 4 // len(data)):
                for conn, fut in zip(conns, futs, strict=True):
                    if not fut.done():
                        conn.data_received(data)
            self.assertLess(usage()[1], PEAK_BYTES)
            for fut in futs:
                self.assertIsInstance(fut.exception(), AnswerLostError)
            del fut, futs, conn
            # The connections are still there, as until the collector runs.
            self.assertLess(usage()[0], RETAINED_BYTES)
        self.assertEqual(0, memory.reserved)
        self.assertEqual(4, len(conns))

    async def test_a_whole_answer_stays_in_memory_with_its_idle_connection(self):
        conn = ClientConnection(b"x-request-id", None)
        conn.connection_made(mock.Mock(spec=asyncio.Transport))
        with measured() as usage:
            fut = conn.send(b"", b"r1", False)
            conn.data_received(OK + b"X-Request-Id: r1\r\n" + CHUNKED)
            for _ in range(20):
                conn.data_received(b"10000\r\n" + b"x" * 65_536 + b"\r\n")
            conn.data_received(b"0\r\n\r\n")
            self.assertEqual(20 * 65_536, len(fut.result().body))
            del fut
            self.assertLess(usage()[0], RETAINED_BYTES)
        self.assertTrue(conn.reusable)


class RequestMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Requests, in whatever pieces, take no more memory than their budget."""

    async def asyncSetUp(self):
        self.service, self.memory = _Echo(), MemoryBudget(BUDGET_BYTES)
        self.listener = HttpListener(self.service, self.memory)
        await self.listener.start("127.0.0.1:0")

    async def asyncTearDown(self):
        self.listener.stop()

    async def send(self, *parts):
        """Send parts on a new connection and return the status of the answer."""
        host, _, port = self.listener.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
            return int((await reader.readuntil(b"\r\n")).split()[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.close()

    @parameterized.expand(
        [
            ("a body in small chunks", POST + CHUNKED, SMALL_CHUNK, 40),
            ("a body in large chunks", POST + CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n", 40),
            ("small headers", POST, SMALL_HEADER, 1),
        ]
    )
    async def test_requests_that_do_not_end_fill_the_memory(self, _, first, piece, parts):
        data = repeated(piece, 32_768)
        with measured() as usage:
            sent = [self.send(first, *[data] * parts) for _number in range(8)]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2.0):
                    await asyncio.gather(*sent)
            peak = usage()[1]
        # The clients are in this process, with a buffer of the same size.
        self.assertLess(peak, 2 * PEAK_BYTES)
        self.assertLessEqual(self.memory.reserved, BUDGET_BYTES)

    async def test_pipelined_requests_hold_memory_that_is_not_counted(self):
        body = b"y" * 10_000
        request = POST + b"Content-Length: 10000\r\n\r\n" + body
        sent = asyncio.create_task(self.send(request * 10))
        async with asyncio.timeout(5.0):
            while self.memory.reserved < 10 * len(body):
                await asyncio.sleep(0.01)
        self.service.answer.set()
        self.assertEqual(200, await sent)
        async with asyncio.timeout(5.0):
            while self.memory.reserved:
                await asyncio.sleep(0.01)


class _Sink(LinkHandler):
    """Keeps the last message."""

    message_ = None

    def __init__(self):
        self.skipped = []

    def message(self, message, link):
        self.message_ = message

    def too_large(self, tag, sequence, link):
        self.skipped.append((tag, sequence))

    def link_opened(self, link):
        pass

    def link_closed(self, link):
        pass


class FrameMemoryTest(unittest.IsolatedAsyncioTestCase):
    """A large body is copied once on each side of a connection between nodes."""

    async def test_copies_of_a_large_body_fill_the_memory(self):
        size = 16 * 2**20
        run = frames.Run(1, "s", "POST", "/", b"h", b"x" * size, "o", 3, 100, 50, "r", False, "n")
        written = []
        sender, receiver, sink = LinkProtocol(_Sink()), None, _Sink()
        sender.connection_made(mock.Mock(spec=asyncio.Transport, write=written.append))
        with measured() as usage:
            sender.send(run)
            # The frame, and what its buffer reserves in advance.
            self.assertLess(usage()[1], 1.7 * size)
        frame = written.pop()
        receiver = LinkProtocol(sink)
        receiver.connection_made(mock.Mock(spec=asyncio.Transport))
        with measured() as usage:
            for start in range(0, len(frame), 65_536):
                receiver.data_received(bytes(frame[start : start + 65_536]))
            self.assertLess(usage()[1], 2.3 * size)
            self.assertLess(usage()[0], 1.1 * size)
        self.assertEqual(run, sink.message_)

    @parameterized.expand(
        [
            (f"{kind} {sequence}", kind, sequence)
            for kind in ("run", "reply")
            for sequence in (1, 200, 70_000, 2**40)
        ]
    )
    async def test_a_large_frame_without_memory_for_it_is_received(self, _, kind, sequence):
        body, sink, memory = b"x" * 2**20, _Sink(), MemoryBudget(2**20)
        run = frames.Run(sequence, "s", "POST", "/", b"h", body, "o", 3, 1, 1, "r", False, "n")
        reply = frames.Reply(sequence, 0, 200, b"", body, "", 0, None, True)
        frame = frames.encode(run if kind == "run" else reply)
        receiver = LinkProtocol(sink, memory)
        receiver.connection_made(mock.Mock(spec=asyncio.Transport))
        after = frames.Cancel(7)
        data = frame + frames.encode(after)
        for start in range(0, len(data), 65_536):
            receiver.data_received(data[start : start + 65_536])
            self.assertEqual(0, memory.reserved)
        self.assertEqual([(1 if kind == "run" else 2, sequence)], sink.skipped)
        self.assertEqual(after, sink.message_)

    @parameterized.expand([("whole", 2**20), ("broken off", 500_000)])
    async def test_a_large_frame_keeps_its_memory(self, _, size):
        run = frames.Run(1, "s", "POST", "/", b"h", b"x" * 2**20, "o", 3, 1, 1, "r", False, "n")
        sink, memory, frame = _Sink(), MemoryBudget(4 * 2**20), frames.encode(run)
        receiver = LinkProtocol(sink, memory)
        receiver.connection_made(mock.Mock(spec=asyncio.Transport))
        receiver.data_received(frame[:100_000])
        self.assertGreater(memory.reserved, 2 * 2**20)
        receiver.data_received(frame[100_000 : size + 100])
        receiver.data_received(frame[size + 100 :] if size >= 2**20 else b"")
        self.assertEqual([], sink.skipped)
        receiver.connection_lost(None)
        self.assertEqual(0, memory.reserved)

    async def test_frames_that_a_node_does_not_read_do_not_count(self):
        memory = MemoryBudget(4 * 2**20)
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_write_buffer_size.return_value = 100_000
        sender = LinkProtocol(_Sink(), memory)
        sender.connection_made(transport)
        sender.pause_writing()
        sender.write(b"x" * 50_000)
        self.assertEqual(150_000, memory.reserved)
        sender.resume_writing()
        self.assertEqual(0, memory.reserved)
