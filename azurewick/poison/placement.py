"""Placement of suspects: requests that were in flight at a crash."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from xxhash import xxh64_intdigest

# Crashes from which a suspect does not share its server with other suspects.
# After one crash all requests in flight are suspects, often a whole batch, and
# running only one of them per server would make them miss their targets. Few
# requests have been in flight at two crashes.
ISOLATION_CRASH_THRESHOLD: Final = 2


class SuspectPlacement:
    """Run each suspect on one backend server at a time.

    The server depends only on the fingerprint and the server names, so
    gateways with the same view send copies of a request to the same server
    without exchanging messages. Copies in flight then cause one crash, not
    several. Suspects with two crashes don't share a server: if one of them
    crashed it, the harmless ones would reach three crashes and be refused.
    """

    def __init__(self) -> None:
        # Fingerprint to request id to the server that runs the request. All
        # requests are included, because a copy may already run when its
        # fingerprint becomes suspect.
        self._runs: dict[str, dict[str, str]] = {}
        # Server to the suspect that it is reserved for and the ids of the
        # suspect's running requests.
        self._reservations: dict[str, tuple[str, set[str]]] = {}

    def record_start(
        self, fingerprint: str, request_id: str, server: str
    ) -> None:
        """Record that a request starts on a server, without reserving it."""
        self._runs.setdefault(fingerprint, {})[request_id] = server

    def acquire(
        self,
        fingerprint: str,
        request_id: str,
        servers: Collection[str],
        crashes: int,
    ) -> str | None:
        """Return the server for a suspect, or None while it must wait.

        It waits while a copy runs on another server or, from the isolation
        threshold on, while its server is reserved for another suspect. The
        result is also None without servers. Each call that returned a server
        needs one release.
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
        if crashes >= ISOLATION_CRASH_THRESHOLD:
            suspect, runs = self._reservations.setdefault(
                preferred, (fingerprint, set())
            )
            if suspect != fingerprint:
                return None
            runs.add(request_id)
        self.record_start(fingerprint, request_id, preferred)
        return preferred

    def release(self, fingerprint: str, request_id: str) -> None:
        """Record the end of a run; an unknown run is ignored."""
        copies = self._runs.get(fingerprint, {})
        server = copies.pop(request_id, "")
        if not copies:
            self._runs.pop(fingerprint, None)
        _, runs = self._reservations.get(server, ("", set()))
        if request_id in runs:
            runs.discard(request_id)
            if not runs:
                del self._reservations[server]
