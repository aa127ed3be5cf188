"""Builders for the tests of the soak."""

from __future__ import annotations

from soak.const import CUSTOMER
from soak.const import SERVICE_PLAIN
from soak.records import Call
from soak.records import ConfigurationChange
from soak.records import Disturbance
from soak.records import End
from soak.records import History
from soak.records import plain_body
from soak.records import Run
from soak.records import seal_of

REQUEST_ID = "00000000000000a1"
BOOKING = "/booking/a1"
LOOKUP = "/lookup/a1"
DRAFT = "/draft/a1"
PROBE = "/probe/a1"


def build_call(path: str = LOOKUP, **changes) -> Call:
    """Return a call that got its complete answer."""
    request_id = changes.get("request_id", REQUEST_ID)
    body = plain_body(request_id, path)
    fields = {
        "request_id": request_id,
        "path": path,
        "instance": "entry-1",
        "sent_s": 100.0,
        "ended_s": 100.1,
        "end": End.ANSWERED,
        "status": 200,
        "seal": seal_of(body),
        "body": body,
    }
    return Call(**{**fields, **changes})


def build_run(path: str = LOOKUP, **changes) -> Run:
    fields = {
        "request_id": REQUEST_ID,
        "path": path,
        "backend": "i-1",
        "service": SERVICE_PLAIN,
        "customer": CUSTOMER,
        "started_s": 100.01,
        "ended_s": 100.05,
    }
    return Run(**{**fields, **changes})


def build_change(
    version: int, probe_service: str, acknowledged_s: float
) -> ConfigurationChange:
    return ConfigurationChange(
        version=version,
        probe_service=probe_service,
        acknowledged_s=acknowledged_s,
    )


def build_disturbance(
    started_s: float, ended_s: float, **changes
) -> Disturbance:
    return Disturbance(
        kind="kill", started_s=started_s, ended_s=ended_s, **changes
    )


def build_history(**changes) -> History:
    """Return a history in which one lookup was served."""
    fields = {
        "calls": [build_call()],
        "runs": [build_run()],
        "changes": [build_change(1, SERVICE_PLAIN, 0.0)],
        "starts": [("entry-1", 0.0)],
    }
    return History(**{**fields, **changes})
