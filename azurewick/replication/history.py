"""Last versions of the configuration that an instance had in force."""

from __future__ import annotations

from collections import OrderedDict

from azurewick.replication.document import Document
from azurewick.replication.document import Section

# Peers that are some changes behind still get differences.
MAX_VERSIONS = 8
# Limit of what the older versions hold beside the newest one.
MAX_EXTRA_BYTES = 2_097_152


class DocumentHistory:
    """Documents by digest, the newest one last.

    Versions share the elements that are the same in both.
    """

    def __init__(self) -> None:
        # The number is that of the bytes that the document after it dropped.
        self._documents: OrderedDict[str, Document] = OrderedDict()
        self._dropped_bytes: dict[str, int] = {}

    @property
    def newest(self) -> Document | None:
        """Return the newest document, None if there is none."""
        return next(reversed(self._documents.values()), None)

    def find(self, digest: str) -> Document | None:
        """Return the document with a digest, None if it isn't known."""
        return self._documents.get(digest)

    def add(self, document: Document) -> None:
        """Add the newest document; forget the oldest ones."""
        previous = self.newest
        if previous is not None:
            document, kept_bytes = _share_items(document, previous)
            self._dropped_bytes[previous.digest] = (
                previous.size_bytes - kept_bytes
            )
        self._documents.pop(document.digest, None)
        self._dropped_bytes.pop(document.digest, None)
        self._documents[document.digest] = document
        while len(self._documents) > 1 and (
            len(self._documents) > MAX_VERSIONS
            or sum(self._dropped_bytes.values()) > MAX_EXTRA_BYTES
        ):
            digest, _ = self._documents.popitem(last=False)
            self._dropped_bytes.pop(digest, None)


def _share_items(
    document: Document, previous: Document
) -> tuple[Document, int]:
    """Return a document with the elements of the previous one.

    Also returns the bytes of the elements that both have.
    """
    known = {item: item for part in previous.sections for item in part.items}
    kept_bytes = 0
    sections: list[Section] = []
    for section in document.sections:
        items = tuple(known.get(item, item) for item in section.items)
        kept_bytes += sum(len(item) + 1 for item in items if item in known)
        sections.append(
            Section(key=section.key, is_list=section.is_list, items=items)
        )
    return (
        Document(
            revision=document.revision,
            sections=tuple(sections),
            digest=document.digest,
        ),
        kept_bytes,
    )
