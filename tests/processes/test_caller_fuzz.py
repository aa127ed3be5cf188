"""Fuzz test of the callers' protocol with a real instance process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import os
import socket
from urllib.request import Request
from urllib.request import urlopen

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st

from tests.entry.instance_case import FIELDS
from tests.entry.instance_case import HEADERS
from tests.entry.instance_case import PATH
from tests.processes.entry_case import HANG_TIMEOUT_S
from tests.processes.test_abusive_callers import AbusiveCallersBase

# A longer run by hand sets other values.
EXAMPLES = int(os.environ.get("AZUREWICK_FUZZ_EXAMPLES", "500"))
SEED = int(os.environ.get("AZUREWICK_FUZZ_SEED", "7"))
SEND_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True, repr=False)
class FuzzCaller:
    """What a caller sends, the size of its writes and how it ends.

    It leaves, resets the connection, ends its output or stays.
    """

    parts: list[bytes]
    write_bytes: int
    ending: str

    def __repr__(self) -> str:
        """Return the beginnings of the parts, which may be very long."""
        parts = [(len(part), part[:60]) for part in self.parts]
        return f"FuzzCaller({parts}, {self.write_bytes}, {self.ending!r})"


START_LINES = st.sampled_from(
    [
        f"POST {PATH} HTTP/1.1\r\n",
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.0\r\n",
        "POST " + "/a" * 9000 + " HTTP/1.1\r\n",
        "\r\n",
        "\x00\x00\r\n",
    ]
)
HEADER_FIELDS = st.sampled_from(
    [
        FIELDS,
        "Transfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: 4194304\r\n",
        "Content-Length: -1\r\n",
        "Connection: close\r\n",
        "Connection: upgrade\r\nUpgrade: websocket\r\n",
        "Expect: 100-continue\r\n",
        "X-F: " + "v" * 9000 + "\r\n",
        "X-F: v\r\n" * 100,
        "X-F\r\n",
    ]
)
HEADS = st.builds(
    lambda line, fields: (line + "".join(fields) + "\r\n").encode(),
    START_LINES,
    st.lists(HEADER_FIELDS, max_size=4),
)
CHUNKS = st.builds(
    lambda size, extension, declared: (
        b"%x%s\r\n" % (size if declared is None else declared, extension)
        + b"x" * size
        + b"\r\n"
    ),
    st.sampled_from([0, 1, 5, 4096, 70_000]),
    st.sampled_from([b"", b";a=b", b";" + b"e" * 20_000]),
    st.sampled_from([None, None, None, 0, 2**31, 2**64]),
)
PARTS = st.one_of(
    HEADS,
    CHUNKS,
    st.builds(lambda chunk, times: chunk * times, CHUNKS, st.just(30)),
    st.just(b"1\r\nx\r\n" * 5000),
    st.just(b"X-F: v\r\n" * 5000),
    st.just(b"0\r\n\r\n"),
    st.binary(max_size=200),
)
CALLERS = st.builds(
    FuzzCaller,
    parts=st.lists(PARTS, min_size=1, max_size=5),
    write_bytes=st.sampled_from([1, 100, 10_000, 1_000_000]),
    ending=st.sampled_from(["leave", "reset", "end", "stay"]),
)


class CallerFuzzTest(AbusiveCallersBase):
    """Guards against input that ends, fills or blocks an instance process."""

    async def test_process_survives_any_input(self):
        await self.async_begin()
        await asyncio.to_thread(self.run_examples)
        await self.async_check()

    def run_examples(self) -> None:
        """Run the examples while the event loop serves the stand-ins."""
        connections: list[socket.socket] = []

        @seed(SEED)
        @settings(
            max_examples=EXAMPLES,
            deadline=None,
            database=None,
            # The peak of the memory stays, so that no example can be shrunk.
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        )
        @given(st.lists(CALLERS, min_size=1, max_size=4))
        def run(callers):
            for caller in callers:
                _send(self.port, caller, connections)
            self.check_limits()
            _raise_unless_served(self.port)

        try:
            run()
        finally:
            for connection in connections:
                connection.close()


def _send(port, caller, connections) -> None:
    data = b"".join(caller.parts)
    connection = socket.create_connection(("127.0.0.1", port))
    connection.settimeout(SEND_TIMEOUT_S)
    try:
        if caller.write_bytes == 1:
            # Only the beginning goes byte by byte, so that a run stays short.
            for byte in data[:200]:
                connection.sendall(bytes([byte]))
            data = data[200:]
        step = caller.write_bytes * 100
        for start in range(0, len(data), step):
            connection.sendall(data[start : start + step])
        if caller.ending == "end":
            connection.shutdown(socket.SHUT_WR)
    except OSError:
        # The instance has closed the connection, or reads no more.
        pass
    if caller.ending in ("stay", "end"):
        connections.append(connection)
        # Callers that stay are a bounded number.
        if len(connections) > 40:
            connections.pop(0).close()
        return
    if caller.ending == "reset":
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def _raise_unless_served(port) -> None:
    """Raise OSError unless an ordinary request gets an answer."""
    request = Request(
        f"http://127.0.0.1:{port}{PATH}", data=b"{}", headers=HEADERS
    )
    with urlopen(request, timeout=HANG_TIMEOUT_S) as response:
        response.read()
