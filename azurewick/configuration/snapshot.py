"""Immutable view of an accepted fleet configuration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from hashlib import sha256
from typing import Any

from pydantic import ValidationError

from azurewick.configuration.models import CustomerModel
from azurewick.configuration.models import FleetConfigurationModel
from azurewick.configuration.models import RequestClassModel
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.models import ClassTarget
from azurewick.models import Customer
from azurewick.models import PoolKind
from azurewick.models import RequestClass
from azurewick.settings.loader import describe_validation_error


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSnapshot:
    """Configuration at one revision; a larger revision is newer."""

    revision: int
    pools: dict[str, PoolKind] = field(default_factory=dict)
    classes: dict[str, RequestClass] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    customer_by_key_hash: dict[str, Customer] = field(default_factory=dict)

    def find_customer(self, api_key: str) -> Customer | None:
        """Return the customer that owns an API key, None if there is none."""
        return self.customer_by_key_hash.get(hash_api_key(api_key))


def hash_api_key(api_key: str) -> str:
    """Return the hash under which the configuration stores an API key."""
    return f"sha256:{sha256(api_key.encode()).hexdigest()}"


def build_snapshot(spec: Any, revision: int) -> ConfigurationSnapshot:
    """Return the snapshot of a configuration object's spec.

    Raises AzurewickError with code invalid_configuration.
    """
    try:
        model = FleetConfigurationModel.model_validate(spec)
    except ValidationError as err:
        raise AzurewickError(
            ErrorCode.INVALID_CONFIGURATION,
            describe_validation_error(err),
            step=Step.CONFIGURE,
        ) from err
    customers = {item.name: _build_customer(item) for item in model.customers}
    return ConfigurationSnapshot(
        revision=revision,
        pools={pool.name: PoolKind(pool.kind) for pool in model.pools},
        classes={item.name: _build_class(item) for item in model.classes},
        customers=customers,
        customer_by_key_hash={
            key_hash: customer
            for customer in customers.values()
            for key_hash in customer.key_hashes
        },
    )


def _build_class(model: RequestClassModel) -> RequestClass:
    return RequestClass(
        name=model.name,
        pool=model.pool,
        tier=model.tier,
        target=ClassTarget(**model.target.model_dump()),
        repeatable=model.repeatable,
        version=model.version,
    )


def _build_customer(model: CustomerModel) -> Customer:
    return Customer(
        name=model.name,
        key_hashes=frozenset(model.key_hashes),
        classes=frozenset(model.classes),
        rate_limit_per_s=model.rate_limit_per_s,
        burst_requests=model.burst_requests,
    )
