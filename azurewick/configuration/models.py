"""Validation models of the fleet configuration."""

from __future__ import annotations

from collections import Counter
from typing import Annotated
from typing import Literal
from typing import Self

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from pydantic import StringConstraints

from azurewick.const import HIGHEST_TIER
from azurewick.const import LOWEST_TIER
from azurewick.settings.models import Name

KeyHash = Annotated[str, StringConstraints(pattern=r"^sha256:[0-9a-f]{64}$")]


class ConfigurationModel(BaseModel):
    """Base of the configuration models; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TargetModel(ConfigurationModel):
    """Latency target of a request class; None leaves a part open."""

    first_token_s: float | None = Field(default=None, gt=0, le=3600)
    inter_token_s: float | None = Field(default=None, gt=0, le=60)
    completion_s: float | None = Field(default=None, gt=0, le=86_400)


class PoolModel(ConfigurationModel):
    """Pool of backend servers."""

    name: Name
    kind: Literal["model", "service"]


class RequestClassModel(ConfigurationModel):
    """Class of requests with its pool, tier, target and first version."""

    name: Name
    pool: Name
    tier: int = Field(ge=HIGHEST_TIER, le=LOWEST_TIER)
    target: TargetModel = TargetModel()
    repeatable: bool = True
    version: Name | None = Field(
        default=None,
        description="version that serves the class before its first move",
    )


class CustomerModel(ConfigurationModel):
    """Customer with its keys, classes and rate limit."""

    name: Name
    key_hashes: tuple[KeyHash, ...] = ()
    classes: tuple[Name, ...] = Field(min_length=1)
    rate_limit_per_s: float = Field(default=100.0, gt=0)
    burst_requests: float = Field(default=200.0, ge=1)


class FleetConfigurationModel(ConfigurationModel):
    """Configuration of the whole fleet."""

    pools: tuple[PoolModel, ...]
    classes: tuple[RequestClassModel, ...]
    customers: tuple[CustomerModel, ...]

    @model_validator(mode="after")
    def validate_references(self) -> Self:
        """Check that names are unique and that references exist."""
        for field, items in (
            ("pools", self.pools),
            ("classes", self.classes),
            ("customers", self.customers),
        ):
            counts = Counter(item.name for item in items)
            repeated = sorted(n for n, count in counts.items() if count > 1)
            if repeated:
                raise ValueError(f"{field}: duplicate names {repeated}")
        pools = {pool.name for pool in self.pools}
        for request_class in self.classes:
            if request_class.pool not in pools:
                raise ValueError(
                    f"classes.{request_class.name}.pool: no pool"
                    f" {request_class.pool!r}; pools are {sorted(pools)}"
                )
        classes = {request_class.name for request_class in self.classes}
        owners: dict[str, str] = {}
        for customer in self.customers:
            missing = sorted(set(customer.classes) - classes)
            if missing:
                raise ValueError(
                    f"customers.{customer.name}.classes: unknown classes"
                    f" {missing}"
                )
            for key_hash in customer.key_hashes:
                if owners.setdefault(key_hash, customer.name) != (
                    customer.name
                ):
                    raise ValueError(
                        f"customers.{customer.name}.key_hashes: a key hash"
                        f" already belongs to customer {owners[key_hash]}"
                    )
        return self
