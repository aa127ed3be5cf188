"""Documents and digest of one node, and the messages that carry them."""

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

# Entries of a digest in one message at most, about 8 KB after compression.
MAX_DIGEST_ENTRIES = 256
# Agents need what they refuse, not the loads of others.
AGENT_KINDS = frozenset({EntryKind.CUT, EntryKind.POISON})
ROLE_AGENT = "agent"
# Peers whose positions are kept; a forgotten peer is sent everything again.
MAX_PEERS = 64

Validator = Callable[[DocumentName, Mapping[str, Any], int], bool]


@dataclass(slots=True)
class _PeerPosition:
    """What was exchanged with one peer: own position and the peer's."""

    incarnation: str = ""
    received: int = 0
    sent: int = 0


def _accept_all(
    name: DocumentName, items: Mapping[str, Any], revision: int
) -> bool:
    return True


def _ignore_load(report: LoadReport, now_s: float) -> None:
    pass


class Replica:
    """State that a node shares through Sync; it does no I/O.

    A document is taken only when its revision is larger and the validator
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
        self._needs_whole: set[DocumentName] = set()
        self._whole: dict[DocumentName, tuple[int, bytes]] = {}

    def accept(
        self,
        name: DocumentName,
        items: Mapping[str, Any],
        revision: int,
        changed: Collection[str] | None = None,
    ) -> bool:
        """Take a document; False when it is not newer or not valid.

        changed are the keys that differ, when the caller knows them.
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
        """Return the request to a peer and the own position in it."""
        request = pb.SyncRequest(
            node=self.name,
            role=self.role,
            incarnation=self.incarnation,
            configuration_revision=self._known(DocumentName.CONFIGURATION),
            moves_revision=self._known(DocumentName.MOVES),
            instances_revision=self._known(DocumentName.INSTANCES),
            hold_ms=round(hold_s * 1000),
        )
        position = self._peers.get(peer, _PeerPosition())
        sent = position.sent
        if with_digest:
            part, sent = self.digest.collect(
                position.sent,
                excluded_source=peer,
                limit=MAX_DIGEST_ENTRIES,
                now_s=now_s,
            )
            request.packed = pack_digest(part)
            request.digest_limit = MAX_DIGEST_ENTRIES
            request.digest_position = position.received
            request.peer_incarnation = position.incarnation
        return request, sent

    def accept_request(self, request: pb.SyncRequest, now_s: float) -> bool:
        """Take a caller's digest; True when its documents are newer.

        Raises ValueError when the request is not valid.
        """
        self._merge(unpack_digest(request), request.node, now_s)
        return any(
            _revision_of(request, name) > document.revision
            for name, document in self.documents.items()
        )

    def is_behind(self, request: pb.SyncRequest) -> bool:
        """Return whether the caller lacks a document's newest revision."""
        return any(
            _revision_of(request, name) < document.revision
            for name, document in self.documents.items()
        )

    def answer(self, request: pb.SyncRequest, now_s: float) -> pb.SyncReply:
        """Return the answer to a request."""
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
        self, peer: str, reply: pb.SyncReply, sent: int, now_s: float
    ) -> set[DocumentName]:
        """Take an answer; return the documents that changed.

        sent is the own position in the request. Raises ValueError when the
        answer is not valid.
        """
        changed = {
            name
            for name in DocumentName
            if (data := getattr(reply, name.value))
            and self.accept(name, _decode(data), _revision_of(reply, name))
        }
        self._needs_whole -= changed
        for message in reply.deltas:
            if self._accept_delta(message):
                changed.add(DocumentName(message.document))
        self._merge(unpack_digest(reply), reply.node, now_s)
        self._record_positions(peer, reply, sent)
        return changed

    def _merge(self, part: DigestPart, source: str, now_s: float) -> None:
        self.digest.merge(part, source, now_s)
        for report in part.loads:
            self._on_load(report, now_s)

    def _record_positions(
        self, peer: str, reply: pb.SyncReply, sent: int
    ) -> None:
        position = self._peers.get(peer)
        if position is None or position.incarnation != reply.incarnation:
            # A peer that restarted has lost what it was sent before.
            sent = sent if position is None else 0
            position = _PeerPosition(incarnation=reply.incarnation)
            while len(self._peers) >= MAX_PEERS:
                self._peers.pop(next(iter(self._peers)))
            self._peers[peer] = position
        position.sent = max(position.sent, sent)
        position.received = max(position.received, reply.digest_position)

    def _accept_delta(self, message: pb.DocumentDelta) -> bool:
        name = DocumentName(message.document)
        document = self.documents[name]
        if message.revision <= document.revision:
            return False
        changes = _decode(message.changes)
        items = document.merge(
            Delta(
                base=message.base,
                revision=message.revision,
                changes=changes,
                digest=message.digest,
            )
        )
        if items is None:
            self._needs_whole.add(name)
            return False
        return self.accept(name, items, message.revision, changes)

    def _add_document(
        self, reply: pb.SyncReply, name: DocumentName, known: int
    ) -> None:
        document = self.documents[name]
        delta = document.delta_since(known)
        if delta is None:
            setattr(reply, name.value, self._encode_whole(name))
            return
        reply.deltas.append(
            pb.DocumentDelta(
                document=name.value,
                base=delta.base,
                revision=delta.revision,
                changes=_encode(delta.changes),
                digest=delta.digest,
            )
        )

    def _encode_whole(self, name: DocumentName) -> bytes:
        document = self.documents[name]
        revision, data = self._whole.get(name, (0, b""))
        if revision != document.revision:
            data = _encode(document.items)
            self._whole[name] = (document.revision, data)
        return data

    def _revision(self, name: DocumentName) -> int:
        return self.documents[name].revision

    def _known(self, name: DocumentName) -> int:
        return 0 if name in self._needs_whole else self._revision(name)


def _revision_of(
    message: pb.SyncRequest | pb.SyncReply, name: DocumentName
) -> int:
    revision: int = getattr(message, f"{name.value}_revision")
    return revision


def _encode(items: Mapping[str, Any]) -> bytes:
    return compress(orjson.dumps(dict(items)))


def _decode(data: bytes) -> dict[str, Any]:
    """Return the items; ValueError when invalid."""
    items = orjson.loads(decompress(data))
    if not isinstance(items, dict):
        raise ValueError("document is no JSON object")
    return items
