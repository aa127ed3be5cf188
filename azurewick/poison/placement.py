"""Placement of suspect requests on backend servers."""

from __future__ import annotations

from collections.abc import Collection

from xxhash import xxh64_intdigest


class SuspectPlacement:
    """Runs each suspect on one backend server, apart from other suspects.

    The server follows from the fingerprint and the server names alone, so
    gateways with the same view send copies of a request to the same server
    without a message: copies in flight then add one crash, not several. Two
    suspects don't run on one server at a time, because an innocent suspect
    would be accused again by the crash of the other one.
    """

    def __init__(self) -> None:
        # Server to the fingerprint that runs there and its request ids.
        self._running: dict[str, tuple[str, set[str]]] = {}

    def acquire(
        self, fingerprint: str, request_id: str, servers: Collection[str]
    ) -> str | None:
        """Return the server to use now, None while it is not free.

        Each call that returned a server needs one release.
        """
        if not servers:
            return None
        preferred = max(
            servers,
            key=lambda name: xxh64_intdigest(f"{fingerprint} {name}".encode()),
        )
        for name, (running, _) in self._running.items():
            if running == fingerprint and name != preferred:
                # A copy still runs on a server that was preferred before.
                return None
        running, request_ids = self._running.setdefault(
            preferred, (fingerprint, set())
        )
        if running != fingerprint:
            return None
        request_ids.add(request_id)
        return preferred

    def release(self, request_id: str, server: str) -> None:
        """Note that a run has ended; ids that were not placed are ignored."""
        _, request_ids = self._running.get(server, ("", set()))
        if request_id not in request_ids:
            return
        request_ids.discard(request_id)
        if not request_ids:
            del self._running[server]
