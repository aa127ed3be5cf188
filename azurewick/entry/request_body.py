"""Bodies of callers' requests and the memory that they take together."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from itertools import takewhile

# Largest part of a body that is written at once. Bodies are held in parts of
# this size: one growing buffer would be copied to ever larger blocks, and the
# allocator keeps the former ones.
PART_BYTES = 65_536
# Share of the limit by which bodies may exceed it: the smaller a body, the
# more of it, so that a few large ones don't keep the others out.
RESERVE = 0.25
# Bodies of this share of the limit or more get nothing of the reserve.
LARGE_BODY_SHARE = 0.1
# Default share of the limit that the bodies of one customer may take.
CUSTOMER_SHARE = 0.8
# Uploads that take longer than this may lose their memory to other bodies.
USUAL_UPLOAD_S = 1.0


class BodyMemory:
    """Account of the memory that the bodies of all requests take.

    It counts received bytes. A declared length takes no memory, and callers
    that declare bodies and send nothing would lock the others out.

    limit_bytes bounds new bodies, and customer_share is the share of it that
    one customer may take; they may be changed at any time.
    """

    def __init__(
        self, limit_bytes: int, customer_share: float = CUSTOMER_SHARE
    ) -> None:
        self.limit_bytes = limit_bytes
        self.customer_share = customer_share
        self.held_bytes = 0
        self._held_by_customer: Counter[str] = Counter()
        self._uploads: set[RequestBody] = set()

    def has_room(
        self, others_bytes: int, size: int, expected_bytes: int
    ) -> bool:
        """Return whether a body may take size bytes beside the others.

        expected_bytes is its size once it is complete. There always is room
        for the only one, however large it is.
        """
        large_bytes = max(1.0, self.limit_bytes * LARGE_BODY_SHARE)
        reserve = RESERVE * max(0.0, 1.0 - expected_bytes / large_bytes)
        limit_bytes = self.limit_bytes * (1.0 + reserve)
        return not others_bytes or others_bytes + size <= limit_bytes

    def try_make_room(
        self, body: RequestBody, size: int, expected_bytes: int, now_s: float
    ) -> bool:
        """Return whether a body may take size bytes in all.

        If needed, uploads that have held more memory for longer lose theirs,
        unless that isn't enough.
        """
        others_bytes = self.held_bytes - body.size
        same_bytes = self._customer_bytes(body)
        has_room = self.has_room(others_bytes, size, expected_bytes)
        if has_room and self._is_in_share(same_bytes, size):
            return True
        withdrawn: list[RequestBody] = []
        for upload in self._long_uploads(body, now_s):
            is_same = upload.customer == body.customer
            if has_room and not is_same:
                # Only the customer's own share is full.
                continue
            others_bytes -= upload.size
            same_bytes -= upload.size if is_same else 0
            withdrawn.append(upload)
            has_room = self.has_room(others_bytes, size, expected_bytes)
            if has_room and self._is_in_share(same_bytes, size):
                break
        else:
            return False
        for upload in withdrawn:
            upload.withdraw()
        return True

    def add_bytes(self, body: RequestBody, added_bytes: int) -> None:
        """Count bytes that a body has taken, or fewer than 0 if freed."""
        self.held_bytes += added_bytes
        if body.customer is None:
            return
        self._held_by_customer[body.customer] += added_bytes
        if not self._held_by_customer[body.customer]:
            del self._held_by_customer[body.customer]

    def add_upload(self, body: RequestBody) -> None:
        """Count a body as one that is being received."""
        self._uploads.add(body)

    def remove_upload(self, body: RequestBody) -> None:
        """Count a body as one that is complete, or has failed."""
        self._uploads.discard(body)

    def _customer_bytes(self, body: RequestBody) -> int:
        """Return what the other bodies of a body's customer take."""
        if body.customer is None:
            return 0
        return self._held_by_customer[body.customer] - body.size

    def _is_in_share(self, same_bytes: int, size: int) -> bool:
        limit_bytes = self.limit_bytes * self.customer_share
        return not same_bytes or same_bytes + size <= limit_bytes

    def _long_uploads(
        self, body: RequestBody, now_s: float
    ) -> list[RequestBody]:
        """Return the long uploads that have held more than a body.

        Those that have held most for longest come first.
        """
        uploads = sorted(
            (
                upload
                for upload in self._uploads
                if upload.size and now_s - upload.started_s > USUAL_UPLOAD_S
            ),
            key=lambda upload: upload.size * (now_s - upload.started_s),
            reverse=True,
        )
        return list(takewhile(lambda upload: upload is not body, uploads))


class RequestBody:
    """Body of one request, which takes memory as it arrives.

    It is the only reference to the data that outlives a call, so that
    release() frees them although exceptions and their frames may still refer
    to the body.

    declared_bytes is None if the caller declares no length, and customer if
    no customer's share bounds the body. on_withdrawn is called when the memory
    of an upload is taken back.
    """

    def __init__(
        self,
        memory: BodyMemory,
        *,
        declared_bytes: int | None,
        started_s: float,
        customer: str | None = None,
        on_withdrawn: Callable[[], None] | None = None,
    ) -> None:
        self.customer = customer
        self.started_s = started_s
        self.declared_bytes = declared_bytes
        self.is_withdrawn = False
        self._memory = memory
        self._on_withdrawn = on_withdrawn
        self._parts: list[bytearray] = []
        self._size = 0
        # Attempts that are sending the data.
        self._senders = 0
        self._releases_when_sent = False

    @property
    def parts(self) -> Sequence[bytearray]:
        """Return the data in parts, which must not be changed or kept."""
        return self._parts

    @property
    def size(self) -> int:
        """Return the number of bytes that are held."""
        return self._size

    def try_begin(self, now_s: float) -> bool:
        """Begin to receive, unless there is no room for the whole body."""
        size = PART_BYTES if self.declared_bytes is None else self._expected(0)
        if not self._memory.try_make_room(self, size, size, now_s):
            return False
        self._memory.add_upload(self)
        return True

    def try_append(self, data: bytes, now_s: float) -> bool:
        """Add received data, unless there is no room for them."""
        size = self.size + len(data)
        if self.is_withdrawn or not self._memory.try_make_room(
            self, size, self._expected(size), now_s
        ):
            return False
        self._add(data)
        self._memory.add_bytes(self, len(data))
        return True

    def finish_upload(self) -> None:
        """Keep the data until the release, as the body is complete."""
        self._memory.remove_upload(self)

    def withdraw(self) -> None:
        """Give the memory of an unfinished upload to other bodies."""
        self.is_withdrawn = True
        self.release()
        if self._on_withdrawn is not None:
            self._on_withdrawn()

    def release(self) -> None:
        """Free the data and their memory."""
        self._memory.remove_upload(self)
        self._memory.add_bytes(self, -self.size)
        self._parts = []
        self._size = 0

    def release_when_sent(self) -> None:
        """Free the data once no attempt sends them any more."""
        self._releases_when_sent = True
        self._release_if_sent()

    async def async_iterate(self) -> AsyncIterator[bytes]:
        """Yield the data in parts, none after the release.

        One write of all data would copy them into the buffer of the
        connection.
        """
        self._senders += 1
        try:
            index = 0
            while index < len(self._parts):
                yield bytes(self._parts[index])
                index += 1
        finally:
            self._senders -= 1
            self._release_if_sent()

    def _release_if_sent(self) -> None:
        if self._releases_when_sent and not self._senders:
            self.release()

    def _add(self, data: bytes) -> None:
        start = 0
        while start < len(data):
            if not self._parts or len(self._parts[-1]) == PART_BYTES:
                self._parts.append(bytearray())
            part = self._parts[-1]
            end = start + PART_BYTES - len(part)
            part += data[start:end]
            start = end
        self._size += len(data)

    def _expected(self, size: int) -> int:
        """Return the size of the whole body, of which size has come.

        A body of unknown length that exceeds one part may become large.
        """
        if self.declared_bytes is not None:
            return max(size, self.declared_bytes)
        return size if size <= PART_BYTES else self._memory.limit_bytes
