"""Data classes of the replication of the configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationNotice:
    """What an instance tells its peers of its configuration.

    revision is that of the document in force. The store has confirmed, age_s
    ago, that it is the newest up to checked_revision.
    read_time_s is how long the instance takes to read the largest document
    from the store. is_receiving says that a large answer of the store, which
    may hold a newer version, is arriving.
    """

    revision: int
    checked_revision: int
    age_s: float
    read_time_s: float
    is_receiving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerCopy:
    """Configuration of a peer, as its last report has told.

    The report has come at received_s. confirmed_s is the time at which the
    store has confirmed that the configuration is the newest. address is where
    the peer serves it, as "IP:port".
    """

    name: str
    address: str
    is_same_region: bool
    revision: int
    checked_revision: int
    confirmed_s: float
    received_s: float
    read_time_s: float
    is_receiving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerAddress:
    """Where a peer serves its configuration, as "IP:port"."""

    address: str
    is_same_region: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectName:
    """Collection and name of the stored configuration."""

    plural: str
    name: str
