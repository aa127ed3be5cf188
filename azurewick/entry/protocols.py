"""Interfaces of the entry instance's parts."""

from __future__ import annotations

from typing import Protocol

from aiohttp import ClientResponse
from aiohttp.web import BaseRequest
from multidict import CIMultiDict

from azurewick.entry.models import AnswerHead
from azurewick.entry.models import BackendCall
from azurewick.entry.models import CallerRequest


class WireProtocol(Protocol):
    """Spelling of requests and answers on the wire."""

    def decode_request(
        self, request: BaseRequest, received_s: float
    ) -> CallerRequest:
        """Return the parts of a request that decisions need."""

    def encode_call(self, call: BackendCall) -> CIMultiDict[str]:
        """Return the headers of a request to a backend server."""

    def decode_answer(
        self, response: ClientResponse, request_id: str
    ) -> AnswerHead:
        """Return what an answer's head says about the run."""
