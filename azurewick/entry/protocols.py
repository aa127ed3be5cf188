"""Interfaces between the components of the entry instance."""

from __future__ import annotations

from typing import Protocol

from aiohttp import ClientResponse
from aiohttp.web import BaseRequest
from multidict import CIMultiDict

from azurewick.entry.models import AnswerHead
from azurewick.entry.models import BackendCall
from azurewick.entry.models import CallerRequest


class WireProtocol(Protocol):
    """Translates between HTTP messages and the entry's data classes."""

    def decode_request(
        self, request: BaseRequest, received_s: float
    ) -> CallerRequest:
        """Return the data of a request that filters and dispatch need."""

    def encode_call(self, call: BackendCall) -> CIMultiDict[str]:
        """Return the headers of a request to a backend server."""

    def decode_answer(
        self, response: ClientResponse, request_id: str
    ) -> AnswerHead:
        """Return the data of an answer's status line and headers."""
