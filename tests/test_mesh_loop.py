"""The event loop with fewer polls runs what asyncio's own runs."""

import asyncio

from testtools import TestCase

from beryldrum.mesh.loop import new_event_loop


class LoopTest(TestCase):
    """Callbacks that beget callbacks must not keep sockets waiting."""

    def test_sockets_are_served_beside_endless_callbacks(self):
        async def main():
            loop = asyncio.get_running_loop()
            busy = True

            def again():
                if busy:
                    loop.call_soon(again)

            again()
            server = await asyncio.start_server(lambda r, w: w.write(b"x"), "127.0.0.1", 0)
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            got = await asyncio.wait_for(reader.read(1), 10)
            busy = False
            writer.close()
            server.close()
            return got

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            self.assertEqual(b"x", runner.run(main()))
