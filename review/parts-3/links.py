"""The path from one machine to one service of the platform, which can be cut as a partition does."""

import socket
import struct

import trio

from comfreywind.settings.address import Address
from rig import find_ports

FLIGHT_S = 0.3
CHUNK = 65_536


class Machine:
    """Whether a machine is cut off, and what is to be told of the bytes that it sends."""

    def __init__(self, name, see_bytes=None):
        self.name = name
        self.cut = False
        self.see_bytes = see_bytes
        self._change = trio.Event()

    def set_cut(self, cut):
        self.cut = cut
        self._change.set()
        self._change = trio.Event()

    async def wait_until_whole(self):
        while self.cut:
            await self._change.wait()


class Link:
    """Passes the bytes of one machine's connections on.

    While the machine is cut off, the bytes of open connections are held, in both directions, and arrive once the
    cut has ended, unless their sender has reset the connection. A connection that is opened meanwhile stays dead.
    """

    def __init__(self, machine, ip, target):
        self.machine = machine
        self.target = target
        self.address = Address(ip, find_ports(ip, 1)[0])

    async def serve(self):
        listeners = await trio.open_tcp_listeners(self.address.port, host=self.address.host)
        await trio.serve_listeners(self._pass_on, listeners)

    async def _pass_on(self, client):
        if self.machine.cut:
            await self._swallow(client)
            return
        try:
            server = await trio.open_tcp_stream(self.target.host, self.target.port)
        except OSError:
            return
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, True, scope)
                nursery.start_soon(self._pump, server, client, False, scope)
        await trio.aclose_forcefully(server)

    async def _swallow(self, client):
        """Hold a connection whose opening never arrives."""
        try:
            while await client.receive_some(CHUNK):
                pass
        except trio.BrokenResourceError:
            pass

    async def _pump(self, source, sink, is_request, scope):
        try:
            while True:
                data = await source.receive_some(CHUNK)
                if data and is_request and self.machine.see_bytes is not None:
                    self.machine.see_bytes(self.machine, data)
                if self.machine.cut and await self._is_reset_while_cut(source):
                    break
                if not data:
                    # The end of a connection doesn't overtake what was sent before it.
                    await trio.sleep(FLIGHT_S)
                    break
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()

    async def _is_reset_while_cut(self, source):
        """Wait for the end of the cut; return whether the sender has reset the connection meanwhile."""
        await self.machine.wait_until_whole()
        error = source.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        info = source.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)
        closed = struct.unpack('B', info[:1])[0] == 7
        return bool(error) or closed
