"""Replica of the documents and digest, and its Sync messages."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from azurewick.control import control_pb2 as pb
from azurewick.control.conversion import compress
from azurewick.control.conversion import decompress
from azurewick.control.conversion import pack_digest
from azurewick.control.conversion import unpack_digest
from azurewick.control.digest import ALL_KINDS
from azurewick.control.digest import Digest
from azurewick.control.digest import EntryKind
from azurewick.control.documents import Delta
from azurewick.control.documents import Document
from azurewick.control.documents import DocumentName
from azurewick.control.models import DigestPart
from azurewick.models import LoadReport

# Most digest entries in one message, about 8 KB after compression.
MAX_DIGEST_ENTRIES = 256
# Agents need the entries by which they refuse requests, not the loads of
# others.
AGENT_KINDS = frozenset({EntryKind.CUT, EntryKind.POISON})
ROLE_AGENT = "agent"
# Most peers whose digest positions are kept. A peer that was dropped from them
# is sent all entries again.
MAX_PEERS = 64

Validator = Callable[[DocumentName, Mapping[str, Any], int], bool]


@dataclass(slots=True)
class _PeerPosition:
    """Digest positions up to which entries were exchanged with one peer.

    received_position is a position in the digest of the peer's incarnation,
    sent_position one in this node's digest.
    """

    incarnation: str = ""
    received_position: int = 0
    sent_position: int = 0


def _accept_all(
    name: DocumentName, items: Mapping[str, Any], revision: int
) -> bool:
    return True


def _ignore_load(report: LoadReport, now_s: float) -> None:
    pass


class Replica:
    """Documents and digest that a node exchanges through Sync, without I/O.

    A document is stored only when its revision is larger and the validator
    accepts it.
    """

    def __init__(
        self,
        name: str,
        role: str,
        incarnation: str,
        validate: Validator = _accept_all,
        on_load: Callable[[LoadReport, float], None] = _ignore_load,
    ) -> None:
        self.name = name
        self.role = role
        self.incarnation = incarnation
        self.documents = {one: Document() for one in DocumentName}
        self.digest = Digest()
        self._validate = validate
        self._on_load = on_load
        self._peers: dict[str, _PeerPosition] = {}
        # Documents to request in full, after a delta that didn't apply.
        self._needs_full: set[DocumentName] = set()
        # Revision and encoding of the documents sent in full.
        self._encoded: dict[DocumentName, tuple[int, bytes]] = {}

    def accept(
        self,
        name: DocumentName,
        items: Mapping[str, Any],
        revision: int,
        changed: Collection[str] | None = None,
    ) -> bool:
        """Store a document; False when it is not newer or not valid.

        changed are the keys that differ. None compares all items.
        """
        document = self.documents[name]
        if revision <= document.revision:
            return False
        if not self._validate(name, items, revision):
            return False
        return document.replace(items, revision, changed)

    def build_request(
        self, peer: str, *, hold_s: float, with_digest: bool, now_s: float
    ) -> tuple[pb.SyncRequest, int]:
        """Return the request to a peer and the digest position it reaches.

        Pass that position to accept_reply.
        """
        request = pb.SyncRequest(
            node=self.name,
            role=self.role,
            incarnation=self.incarnation,
            configuration_revision=self._known_revision(
                DocumentName.CONFIGURATION
            ),
            moves_revision=self._known_revision(DocumentName.MOVES),
            instances_revision=self._known_revision(DocumentName.INSTANCES),
            hold_ms=round(hold_s * 1000),
        )
        position = self._peers.get(peer, _PeerPosition())
        sent_position = position.sent_position
        if with_digest:
            part, sent_position = self.digest.collect(
                position.sent_position,
                excluded_source=peer,
                limit=MAX_DIGEST_ENTRIES,
                now_s=now_s,
            )
            request.packed = pack_digest(part)
            request.digest_limit = MAX_DIGEST_ENTRIES
            request.digest_position = position.received_position
            request.peer_incarnation = position.incarnation
        return request, sent_position

    def accept_request(self, request: pb.SyncRequest, now_s: float) -> bool:
        """Merge a caller's digest; True when the caller has a newer document.

        Raises ValueError when the request is not valid.
        """
        self._merge(unpack_digest(request), request.node, now_s)
        return any(
            _revision_of(request, name) > document.revision
            for name, document in self.documents.items()
        )

    def is_behind(self, request: pb.SyncRequest) -> bool:
        """Return whether the caller has an older revision of a document."""
        return any(
            _revision_of(request, name) < document.revision
            for name, document in self.documents.items()
        )

    def build_reply(
        self, request: pb.SyncRequest, now_s: float
    ) -> pb.SyncReply:
        """Return the reply with the documents and entries the caller lacks."""
        reply = pb.SyncReply(
            node=self.name,
            incarnation=self.incarnation,
            configuration_revision=self._revision(DocumentName.CONFIGURATION),
            moves_revision=self._revision(DocumentName.MOVES),
            instances_revision=self._revision(DocumentName.INSTANCES),
        )
        for name, document in self.documents.items():
            known = _revision_of(request, name)
            if known < document.revision:
                self._add_document(reply, name, known)
        if request.digest_limit:
            known_position = (
                request.digest_position
                if request.peer_incarnation == self.incarnation
                else 0
            )
            part, reply.digest_position = self.digest.collect(
                known_position,
                excluded_source=request.node,
                limit=min(request.digest_limit, MAX_DIGEST_ENTRIES),
                now_s=now_s,
                kinds=(
                    AGENT_KINDS if request.role == ROLE_AGENT else ALL_KINDS
                ),
            )
            reply.packed = pack_digest(part)
        return reply

    def accept_reply(
        self, peer: str, reply: pb.SyncReply, sent_position: int, now_s: float
    ) -> set[DocumentName]:
        """Merge a peer's reply; return the documents that changed.

        sent_position is the digest position that build_request returned.
        Raises ValueError when the reply is not valid.
        """
        changed = {
            name
            for name in DocumentName
            if (data := getattr(reply, name.value))
            and self.accept(name, _decode(data), _revision_of(reply, name))
        }
        self._needs_full -= changed
        for message in reply.deltas:
            if self._accept_delta(message):
                changed.add(DocumentName(message.document))
        self._merge(unpack_digest(reply), reply.node, now_s)
        self._record_positions(peer, reply, sent_position)
        return changed

    def _merge(self, part: DigestPart, source: str, now_s: float) -> None:
        self.digest.merge(part, source, now_s)
        for report in part.loads:
            self._on_load(report, now_s)

    def _record_positions(
        self, peer: str, reply: pb.SyncReply, sent_position: int
    ) -> None:
        position = self._peers.get(peer)
        if position is None or position.incarnation != reply.incarnation:
            # A peer that restarted has lost the entries it was sent, so start
            # from the first entry again.
            sent_position = sent_position if position is None else 0
            position = _PeerPosition(incarnation=reply.incarnation)
            while len(self._peers) >= MAX_PEERS:
                self._peers.pop(next(iter(self._peers)))
            self._peers[peer] = position
        position.sent_position = max(position.sent_position, sent_position)
        position.received_position = max(
            position.received_position, reply.digest_position
        )

    def _accept_delta(self, message: pb.DocumentDelta) -> bool:
        name = DocumentName(message.document)
        document = self.documents[name]
        if message.revision <= document.revision:
            return False
        changes = _decode(message.changes)
        items = document.items_after(
            Delta(
                base=message.base,
                revision=message.revision,
                changes=changes,
                content_hash=message.digest,
            )
        )
        if items is None:
            self._needs_full.add(name)
            return False
        return self.accept(name, items, message.revision, changes)

    def _add_document(
        self, reply: pb.SyncReply, name: DocumentName, known: int
    ) -> None:
        document = self.documents[name]
        delta = document.delta_since(known)
        if delta is None:
            setattr(reply, name.value, self._encode_full(name))
            return
        reply.deltas.append(
            pb.DocumentDelta(
                document=name.value,
                base=delta.base,
                revision=delta.revision,
                changes=_encode(delta.changes),
                digest=delta.content_hash,
            )
        )

    def _encode_full(self, name: DocumentName) -> bytes:
        document = self.documents[name]
        revision, data = self._encoded.get(name, (0, b""))
        if revision != document.revision:
            data = _encode(document.items)
            self._encoded[name] = (document.revision, data)
        return data

    def _revision(self, name: DocumentName) -> int:
        return self.documents[name].revision

    def _known_revision(self, name: DocumentName) -> int:
        """Return the revision to report; 0 requests the full document."""
        return 0 if name in self._needs_full else self._revision(name)


def _revision_of(
    message: pb.SyncRequest | pb.SyncReply, name: DocumentName
) -> int:
    revision: int = getattr(message, f"{name.value}_revision")
    return revision


def _encode(items: Mapping[str, Any]) -> bytes:
    return compress(orjson.dumps(dict(items)))


def _decode(data: bytes) -> dict[str, Any]:
    """Decode the items of a document; ValueError when invalid."""
    items = orjson.loads(decompress(data))
    if not isinstance(items, dict):
        raise ValueError("document is not a JSON object")
    return items
