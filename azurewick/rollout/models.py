"""Version moves and their representation in the store."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.loader import describe_validation_error
from azurewick.settings.models import Name

PLURAL_VERSION_MOVES = "versionmoves"
LEASE_VERSION_MOVES = "version-moves"

# Share of the requests in the START and SOAK phases.
MIN_SHARE = 0.01
# Largest share of a version that the sequential test has not accepted yet.
MAX_UNACCEPTED_SHARE = 0.05


class MoveState(StrEnum):
    """State of a version move."""

    PROGRESSING = "progressing"
    DONE = "done"
    ROLLED_BACK = "rolled_back"
    CANCELLED = "cancelled"


class MovePhase(StrEnum):
    """Phase of a progressing move.

    START sends MIN_SHARE of the requests until the version has answered a
    few of them. LOAD sends about MAX_UNACCEPTED_SHARE to a few servers, so
    that each of them carries as much load as a server of the old version,
    until the version is accepted. SOAK returns to MIN_SHARE until the
    remaining time is needed for RAMP, which raises the share in steps up to
    1.
    """

    START = "start"
    LOAD = "load"
    SOAK = "soak"
    RAMP = "ramp"


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionMove:
    """Move of a request class to another backend server version.

    by_time_s, the deadline, started_s and phase_since_s are wall-clock
    times. share is the fraction of the class's requests that the version
    gets, and servers the number of its backend servers that get them; 0
    means all. evidence holds the counts by outcome, reason the fault that
    led to a rollback. notice tells the operator why the move can't progress
    or can't meet by_time_s.
    """

    id: str
    request_class: str
    version: str
    by_time_s: float
    requested_by: str = ""
    state: MoveState = MoveState.PROGRESSING
    share: float = MIN_SHARE
    evidence: Mapping[str, int] = field(default_factory=dict)
    reason: str = ""
    phase: MovePhase = MovePhase.START
    servers: int = 2
    previous_version: str = ""
    started_s: float = 0.0
    phase_since_s: float = 0.0
    notice: str = ""
    fencing_number: int = 0

    @property
    def is_progressing(self) -> bool:
        """Return whether the controller still advances the move."""
        return self.state is MoveState.PROGRESSING

    def as_spec(self) -> dict[str, Any]:
        """Return the spec, which the operator writes."""
        return {
            "id": self.id,
            "request_class": self.request_class,
            "version": self.version,
            "by_time_s": self.by_time_s,
            "requested_by": self.requested_by,
            "previous_version": self.previous_version,
        }

    def as_status(self) -> dict[str, Any]:
        """Return the status, which the controller writes."""
        return {
            "id": self.id,
            "state": self.state.value,
            "share": self.share,
            "evidence": dict(self.evidence),
            "reason": self.reason,
            "phase": self.phase.value,
            "servers": self.servers,
            "previous_version": self.previous_version,
            "started_s": self.started_s,
            "phase_since_s": self.phase_since_s,
            "notice": self.notice,
            "fencing_number": self.fencing_number,
        }


class _SpecModel(BaseModel):
    model_config = ConfigDict(extra="forbid")

    id: str = Field(min_length=1, max_length=100)
    request_class: Name
    version: Name
    by_time_s: float = Field(gt=0)
    requested_by: str = ""
    previous_version: str = ""
    cancelled: bool = False


class _StatusModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    id: str = ""
    state: MoveState = MoveState.PROGRESSING
    share: float = Field(default=MIN_SHARE, ge=0, le=1)
    evidence: dict[str, int] = {}
    reason: str = ""
    phase: MovePhase = MovePhase.START
    servers: int = Field(default=2, ge=0)
    previous_version: str = ""
    started_s: float = 0.0
    phase_since_s: float = 0.0
    notice: str = ""
    fencing_number: int = 0


def parse_move(stored: Mapping[str, Any]) -> VersionMove:
    """Return the move that a stored object describes.

    stored has the keys spec and status. A status with another id belongs to
    an earlier move of the class and is ignored. Raises AzurewickError with
    code invalid_configuration if the object is not valid.
    """
    try:
        spec = _SpecModel.model_validate(stored.get("spec"))
        status = _StatusModel.model_validate(stored.get("status") or {})
    except ValidationError as err:
        raise AzurewickError(
            ErrorCode.INVALID_CONFIGURATION,
            describe_validation_error(err),
            step=Step.CONFIGURE,
        ) from err
    if status.id != spec.id:
        status = _StatusModel(id=spec.id)
    fields = spec.model_dump(exclude={"cancelled"}) | status.model_dump()
    fields["previous_version"] = (
        status.previous_version or spec.previous_version
    )
    move = VersionMove(**fields)
    if spec.cancelled and move.is_progressing:
        fields |= {"state": MoveState.CANCELLED, "share": 0.0}
        return VersionMove(**fields)
    return move
