"""Conversion between digest entries and protocol messages."""

from __future__ import annotations

from math import ceil
from math import floor
import zlib

from google.protobuf.message import DecodeError

from azurewick.control import control_pb2 as pb
from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.control.models import PoisonNotice
from azurewick.models import LoadReport

MAX_UNPACKED_BYTES = 4_000_000
COMPRESSION_LEVEL = 6
MAX_UINT32 = 2**32 - 1


def load_to_message(report: LoadReport) -> pb.Load:
    """Convert a load report to a message.

    The age is rounded up, so that a report never looks newer than it is after
    it has been passed on.
    """
    return pb.Load(
        backend_server=report.backend_server,
        incarnation=report.incarnation,
        version=report.version,
        running=report.running,
        queued=report.queued,
        queued_work_s=_round_to_two_digits(report.queued_work_s),
        batch_limit=report.batch_limit,
        prefill_tokens_per_s=_round_to_two_digits(report.prefill_tokens_per_s),
        decode_tokens_per_s=_round_to_two_digits(report.decode_tokens_per_s),
        floor_tier=report.floor_tier,
        draining=report.draining,
        age_ms=min(MAX_UINT32, ceil(max(0.0, report.age_s) * 1000)),
    )


def load_from_message(message: pb.Load) -> LoadReport:
    """Convert a message to a load report."""
    return LoadReport(
        backend_server=message.backend_server,
        incarnation=message.incarnation,
        version=message.version,
        running=message.running,
        queued=message.queued,
        queued_work_s=message.queued_work_s,
        batch_limit=message.batch_limit,
        prefill_tokens_per_s=message.prefill_tokens_per_s,
        decode_tokens_per_s=message.decode_tokens_per_s,
        floor_tier=message.floor_tier,
        draining=message.draining,
        age_s=message.age_ms / 1000,
    )


def pack_digest(part: DigestPart) -> bytes:
    """Return the compressed Digest message; empty without entries."""
    message = pb.Digest(
        loads=[load_to_message(one) for one in part.loads],
        evidence=[
            pb.Evidence(
                gateway=one.gateway,
                incarnation=one.incarnation,
                request_class=one.request_class,
                version=one.version,
                route=one.route,
                requests=one.requests,
                failures=one.failures,
                slow=one.slow,
                broken=one.broken,
                crashes=one.crashes,
                backend_server=one.backend_server,
            )
            for one in part.evidence
        ],
        cuts=[
            pb.VersionCut(
                request_class=one.request_class,
                version=one.version,
                move_id=one.move_id,
                reason=one.reason,
            )
            for one in part.cuts
        ],
        poison=[
            pb.PoisonFingerprint(
                fingerprint=one.fingerprint,
                crashes=one.crashes,
                remaining_s=floor(max(0.0, one.remaining_s)),
                source=one.source,
                incarnation=one.incarnation,
            )
            for one in part.poison
        ],
    )
    data: bytes = message.SerializeToString()
    return compress(data) if data else b""


def unpack_digest(message: pb.SyncRequest | pb.SyncReply) -> DigestPart:
    """Return the digest entries of a Sync message.

    Entries can be in the packed field or in the message's own fields. Raises
    ValueError when the packed field is invalid.
    """
    digest = pb.Digest(
        loads=message.loads,
        evidence=message.evidence,
        cuts=message.cuts,
        poison=message.poison,
    )
    if message.packed:
        try:
            digest.MergeFromString(decompress(message.packed))
        except DecodeError as err:
            raise ValueError(f"invalid digest: {err}") from err
    return DigestPart(
        loads=tuple(load_from_message(one) for one in digest.loads),
        evidence=tuple(
            EvidenceCount(
                gateway=one.gateway,
                incarnation=one.incarnation,
                request_class=one.request_class,
                version=one.version,
                route=one.route,
                requests=one.requests,
                failures=one.failures,
                slow=one.slow,
                broken=one.broken,
                crashes=one.crashes,
                backend_server=one.backend_server,
            )
            for one in digest.evidence
        ),
        cuts=tuple(
            CutNotice(
                request_class=one.request_class,
                version=one.version,
                move_id=one.move_id,
                reason=one.reason,
            )
            for one in digest.cuts
        ),
        poison=tuple(
            PoisonNotice(
                fingerprint=one.fingerprint,
                source=one.source,
                incarnation=one.incarnation,
                crashes=one.crashes,
                remaining_s=one.remaining_s,
            )
            for one in digest.poison
        ),
    )


def compress(data: bytes) -> bytes:
    """Compress data in the zlib format."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Decompress zlib data.

    Raises ValueError when it is invalid, truncated or unpacks to more than
    MAX_UNPACKED_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as err:
        raise ValueError(f"invalid compressed data: {err}") from err
    if not decompressor.eof:
        raise ValueError(
            "compressed data is truncated or unpacks to more than"
            f" {MAX_UNPACKED_BYTES} bytes"
        )
    return result


def _round_to_two_digits(value: float) -> float:
    """Return a value with two digits; more are noise that doesn't compress."""
    return float(f"{value:.2g}")
