"""Admission of requests: each request gets a query slot or is rejected in its frontend's protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepknot.admission.addresses import Address, format_address
from stepknot.admission.api_keys import ApiKeys
from stepknot.admission.controller import AdmissionController
from stepknot.admission.forwarded import client_address
from stepknot.admission.model import QuerySlot, Verdict
from stepknot.broker.admission_rejections import Frontend, Rejections
from stepknot.broker.peer_addresses import PeerAddresses
from stepknot.net.connection import Connection
from stepknot.net.http import Request
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

MIN_ERROR_STATUS = 400  # the lowest HTTP status that counts as an error


class QueryAdmission:
    """Handles the requests of admitted connections.

    Args:
        loop: The broker's loop.
        admission: Decides which requests are admitted.
        peers: Tells which peers are trusted proxies.
        tenant_quotas: The fraction of the query slots that each tenant may use.
        rejections: Makes the answers to rejected requests.
        close_evicted: Closes the connections that a verdict evicted.
    """

    def __init__(
        self,
        loop: Loop,
        admission: AdmissionController,
        peers: PeerAddresses,
        tenant_quotas: dict[str, float],
        rejections: Rejections,
        close_evicted: Callable[[Verdict], None],
    ) -> None:
        self._loop = loop
        self._admission = admission
        self._peers = peers
        self.api_keys = ApiKeys(admission.settings.keys)
        self._tenant_quotas = tenant_quotas
        self._rejections = rejections
        self._close_evicted = close_evicted

    def handle(
        self, frontend: Frontend, handler: Any, request: Request, connection: Connection
    ) -> Coroutine:
        """Run the frontend's handler if the request gets a query slot; otherwise answer with a rejection."""
        admission, now, number = self._admission, self._loop.now, connection.number
        tracked = admission.connections.get(number)
        if tracked is None:  # the connection was evicted in this same loop iteration
            return None
        address = self._find_client(request, connection, tracked.address)
        if "authorization" in request.headers:
            api_key = self.api_keys.name_of(request.headers["authorization"])
            self._close_evicted(admission.on_first_request(now, number, api_key))
        level, tenant = frontend.classify(request)
        quota = self._tenant_quotas.get(tenant, 0.0)
        slot = admission.admit_query(now, number, address, tenant, quota, level)
        if not isinstance(slot, QuerySlot):
            return self._rejections.respond(frontend, slot)
        succeeded = False
        try:
            response = yield from handler(request, connection)
            succeeded = response is not None and response.status < MIN_ERROR_STATUS
            return response
        finally:
            admission.on_query_ended(self._loop.now, slot, succeeded)

    def _find_client(self, request: Request, connection: Connection, address: Address) -> Address:
        """The address of the request's client, taken from the headers if the peer is a trusted proxy.

        Sets `request.client` if the address differs from the peer's.
        """
        if address in self._peers.trusted:
            address = client_address(request.headers, address, self._peers.trusted)
        if address != self._peers.address(connection.peer):
            request.client = format_address(address)
        return address
