"""Decisions about one lease.

No clocks of different processes are compared. The holder measures the lease
duration from before it sent the write, the others from when they first saw
the written version. So the lease expires for the holder first.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum

from azurewick.store.protocols import StoredObject

PLURAL_LEASES = "leases"
DEFAULT_LEASE_DURATION_S = 15.0
# Share of the duration by which the holder stops earlier and others wait
# longer. It allows for clocks that run at different rates and for the time
# between a check of the lease and the action that follows.
SAFETY_MARGIN_SHARE = 0.2
RENEWALS_PER_DURATION = 3
MAX_LEASE_DURATION_S = 600.0


class LeaseStep(StrEnum):
    """Next step of a process for a lease."""

    CREATE = "create"
    TAKE = "take"
    RENEW = "renew"
    WAIT = "wait"


def get_fencing_number(item: StoredObject) -> int:
    """Return the fencing number of a lease object.

    It is the object version of the write that took the lease. That write
    can't contain its own version; renewals do contain it.
    """
    number = item.spec.get("fencing_number")
    return number if isinstance(number, int) and number else item.version


class LeaseDecider:
    """Decides on the steps of one process for one lease, without I/O.

    holder must be unique to an incarnation of a process.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        duration_s: float = DEFAULT_LEASE_DURATION_S,
    ) -> None:
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._lease_object: StoredObject | None = None
        self._version_seen_s = 0.0
        self._write_count = 0
        # Time of sending by token, for writes that may not have been seen.
        self._pending_writes: dict[str, float] = {}
        self._confirmed_token = ""
        self._fencing_number: int | None = None
        self._valid_until_s = 0.0
        self._renew_at_s = 0.0

    def fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is certainly held."""
        if self._fencing_number is None or now_s >= self._valid_until_s:
            return None
        return self._fencing_number

    def observe(self, item: StoredObject | None, now_s: float) -> None:
        """Process a lease object that was read or written; None if missing."""
        if (
            self._lease_object is None
            or item is None
            or (item.version != self._lease_object.version)
        ):
            self._version_seen_s = now_s
        self._lease_object = item
        token = "" if item is None else str(item.spec.get("token", ""))
        if item is not None and token in self._pending_writes:
            self._confirm_write(item, token)
        elif not token or token != self._confirmed_token:
            self._fencing_number = None

    def decide(self, now_s: float) -> LeaseStep:
        """Return the next step from the object observed last."""
        if self._lease_object is None:
            return LeaseStep.CREATE
        if self._fencing_number is not None:
            if now_s >= self._valid_until_s:
                # No other process took it, but orders may have been sent
                # after its expiry, so it needs a new fencing number.
                return LeaseStep.TAKE
            is_due = now_s >= self._renew_at_s
            return LeaseStep.RENEW if is_due else LeaseStep.WAIT
        holder = self._lease_object.spec.get("holder", "")
        if holder in ("", self._holder):
            return LeaseStep.TAKE
        wait_s = self._holder_duration_s() * (1 + SAFETY_MARGIN_SHARE)
        is_over = now_s - self._version_seen_s >= wait_s
        return LeaseStep.TAKE if is_over else LeaseStep.WAIT

    def prepare(self, step: LeaseStep, now_s: float) -> StoredObject:
        """Return the object to write for a step, right before sending."""
        self._write_count += 1
        token = f"{self._holder}/{self._write_count}"
        # Only the last two writes can still show up in the store.
        self._pending_writes = dict([*self._pending_writes.items()][-1:])
        self._pending_writes[token] = now_s
        number = self._fencing_number if step is LeaseStep.RENEW else 0
        return replace(
            self._current_object(),
            spec={
                "holder": self._holder,
                "token": token,
                "duration_s": self._duration_s,
                "fencing_number": number or 0,
            },
        )

    def prepare_release(self) -> StoredObject | None:
        """Return the object that releases the lease; None when not held.

        From this call on the lease is not held, whatever the write's outcome.
        """
        if self._fencing_number is None or self._lease_object is None:
            return None
        number = self._fencing_number
        self._fencing_number = None
        spec = {"holder": "", "token": "", "fencing_number": number}
        return replace(self._lease_object, spec=spec)

    def _confirm_write(self, item: StoredObject, token: str) -> None:
        sent_s = self._pending_writes.pop(token)
        self._confirmed_token = token
        self._fencing_number = get_fencing_number(item)
        self._valid_until_s = sent_s + self._duration_s * (
            1 - SAFETY_MARGIN_SHARE
        )
        self._renew_at_s = sent_s + self._duration_s / RENEWALS_PER_DURATION

    def _current_object(self) -> StoredObject:
        if self._lease_object is not None:
            return self._lease_object
        return StoredObject(plural=PLURAL_LEASES, name=self._name, version=0)

    def _holder_duration_s(self) -> float:
        duration_s = self._current_object().spec.get("duration_s")
        if not isinstance(duration_s, int | float) or not (
            0 < duration_s <= MAX_LEASE_DURATION_S
        ):
            return self._duration_s
        return duration_s
