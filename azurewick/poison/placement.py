"""Placement of suspect requests on backend servers."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from xxhash import xxh64_intdigest

# With one crash all requests in flight are suspects, often a whole batch; to
# run them one by one on each server would make them miss their targets. The
# few with two crashes are kept apart.
CRASHES_UNTIL_APART: Final = 2


class SuspectPlacement:
    """Runs each suspect on one backend server at a time.

    The server follows from the fingerprint and the server names alone, so
    gateways with the same view send copies of a request to the same server
    without a message: copies in flight then add one crash, not several.
    Suspects with two crashes don't share a server, because the innocent ones
    would be refused after the third crash of the other one.
    """

    def __init__(self) -> None:
        # Fingerprint to the servers of its runs by request id. It has the
        # runs of all requests: a copy may run when another one becomes a
        # suspect.
        self._runs: dict[str, dict[str, str]] = {}
        # Server to the suspect that it is reserved for and its runs.
        self._reserved: dict[str, tuple[str, set[str]]] = {}

    def start(self, fingerprint: str, request_id: str, server: str) -> None:
        """Note a run of a request that is no suspect."""
        self._runs.setdefault(fingerprint, {})[request_id] = server

    def acquire(
        self,
        fingerprint: str,
        request_id: str,
        servers: Collection[str],
        crashes: int,
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
        copies = self._runs.get(fingerprint, {})
        if any(server != preferred for server in copies.values()):
            return None
        if crashes >= CRASHES_UNTIL_APART:
            suspect, runs = self._reserved.setdefault(
                preferred, (fingerprint, set())
            )
            if suspect != fingerprint:
                return None
            runs.add(request_id)
        self.start(fingerprint, request_id, preferred)
        return preferred

    def release(self, fingerprint: str, request_id: str) -> None:
        """Note that a run has ended; runs that are not known are ignored."""
        copies = self._runs.get(fingerprint, {})
        server = copies.pop(request_id, "")
        if not copies:
            self._runs.pop(fingerprint, None)
        _, runs = self._reserved.get(server, ("", set()))
        if request_id in runs:
            runs.discard(request_id)
            if not runs:
                del self._reserved[server]
