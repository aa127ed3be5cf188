"""Digest entries that processes exchange through Sync."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from azurewick.models import LoadReport


@dataclass(frozen=True, kw_only=True, slots=True)
class EvidenceCount:
    """Request outcomes that a gateway incarnation counted for a version.

    failures are answers that report an error, slow those later than the old
    version's on similar requests, broken the requests lost in crashes.
    """

    gateway: str
    incarnation: str
    request_class: str
    version: str
    route: str
    requests: int = 0
    failures: int = 0
    slow: int = 0
    broken: int = 0
    crashes: int = 0
    backend_server: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class CutNotice:
    """Version that a gateway has stopped using for a request class."""

    request_class: str
    version: str
    move_id: str
    reason: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoisonNotice:
    """Crashes that an agent incarnation counted for a request fingerprint.

    source is the agent. remaining_s is the time until the notice expires.
    """

    fingerprint: str
    source: str
    incarnation: str
    crashes: int
    remaining_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DigestPart:
    """Entries of a digest, with ages and times at the moment of reading."""

    loads: tuple[LoadReport, ...] = field(default=())
    evidence: tuple[EvidenceCount, ...] = field(default=())
    cuts: tuple[CutNotice, ...] = field(default=())
    poison: tuple[PoisonNotice, ...] = field(default=())


def with_age(report: LoadReport, age_s: float) -> LoadReport:
    """Return a report with another age.

    Calls the constructor because dataclasses.replace takes 8 us.
    """
    return LoadReport(
        backend_server=report.backend_server,
        incarnation=report.incarnation,
        version=report.version,
        running=report.running,
        queued=report.queued,
        queued_work_s=report.queued_work_s,
        batch_limit=report.batch_limit,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_tokens_per_s=report.decode_tokens_per_s,
        floor_tier=report.floor_tier,
        draining=report.draining,
        age_s=age_s,
    )
