"""Carries out the decisions of admission control on the sockets of all frontends.

A connection over a limit waits for its first request (`waiting_connection`). The request is then rejected in its
frontend's protocol, or served if it has an API key. A connection that sends no request in time is closed without an
answer, and counted.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from stepknot.admission.addresses import Address
from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import DescriptorBudget
from stepknot.admission.model import Placement, Verdict
from stepknot.broker.admission_rejections import Classify, Frontend, Reject, Rejections
from stepknot.broker.admission_view import AdmissionView, make_view
from stepknot.broker.peer_addresses import Peer, PeerAddresses
from stepknot.broker.query_admission import QueryAdmission
from stepknot.broker.waiting_connection import (
    AUTHORIZATION,
    READ_SIZE,
    SilentClose,
    WaitingConnection,
    content_length,
)
from stepknot.net.connection import Connection
from stepknot.net.http import Response
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.server import Server

SWEEP_INTERVAL = 0.1  # seconds between two checks of the waiting connections


@dataclass(frozen=True, slots=True)
class Arrival:
    """A connection that was just accepted."""

    number: int
    verdict: Verdict
    data: bytes  # bytes that were already read from it


class AdmissionGate:
    """Admission at the sockets of one broker.

    Args:
        loop: The broker's loop.
        admission: Decides about connections and requests.
        descriptors: The allocation of the descriptor limit, shown to operators.
        log: Writes a log event, given its name and fields.
        tenant_quotas: The fraction of the query slots that each tenant may use.
        wall_clock: The clock by which bans and allowances expire.
    """

    def __init__(
        self,
        loop: Loop,
        admission: AdmissionController,
        descriptors: DescriptorBudget,
        log: Callable[..., None],
        tenant_quotas: dict[str, float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.loop = loop
        self.admission = admission
        self.settings = admission.settings
        self.accepted = 0  # connections accepted so far, which is also the number of the last one
        self._descriptors = descriptors
        self._log = log
        self._wall_clock = wall_clock
        self._peers = PeerAddresses(self.settings.trusted)
        self._arrival = Arrival(0, Verdict(Placement.REJECTED), b"")  # the last accepted connection
        self._admitted: dict[int, Connection] = {}
        self._waiting: dict[int, WaitingConnection] = {}  # oldest first
        self._frontends: dict[Server, Frontend] = {}
        self._silent: Counter[SilentClose] = Counter()
        self._rejections = Rejections(loop, log)
        self._queries = QueryAdmission(
            loop, admission, self._peers, tenant_quotas, self._rejections, self._close_evicted
        )
        loop.call_every(SWEEP_INTERVAL, self._sweep)

    def attach(self, server: Server, reject: Reject, classify: Classify) -> None:
        """Apply admission to all connections and requests of a server from now on."""
        frontend = self._frontends[server] = Frontend(reject, classify)
        server.gate = self
        handler = server.handler
        server.handler = lambda request, connection: self._queries.handle(
            frontend, handler, request, connection
        )
        server.listener.screen = lambda sock, peer: self._screen(server, sock, peer)
        server.listener.on_failed = lambda: self.on_close(self._arrival.number)
        server.listener.on_exhausted = lambda sock, peer: self._on_exhausted(server, sock, peer)

    # --- connections that arrive

    def _screen(self, server: Server, sock: socket.socket, peer: Peer) -> bool:
        """Decide about an accepted socket.

        A connection over a limit whose request has already arrived is rejected here, with one read, one write and one
        close.

        Returns:
            Whether the socket was rejected and closed.
        """
        self.accepted += 1
        number, address = self.accepted, self._peers.address(peer)
        if address in self._peers.trusted:  # the client is decided on once its address is known
            verdict = self.admission.on_proxy_connection(self.loop.now, number, address)
        else:
            verdict = self.admission.on_connection(self.loop.now, number, address)
        self._arrival = Arrival(number, verdict, b"")
        if verdict.placement is not Placement.WAITING:
            return False
        try:
            data = sock.recv(READ_SIZE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            data = b""
        if data and not _can_reject_at_once(data):
            self._arrival = Arrival(number, verdict, data)
            return False
        self._close_evicted(verdict)
        self.admission.on_connection_closed(number)
        self._reject_screened(server, sock, verdict, data)
        return True

    def _reject_screened(
        self, server: Server, sock: socket.socket, verdict: Verdict, data: bytes
    ) -> None:
        """Reject the request in `data`, if there is one, and close the socket."""
        if data:
            answer = self.encode_rejection(server, verdict)
            try:
                sock.send(answer, socket.MSG_DONTWAIT)
            except OSError:
                self._silent[SilentClose.DISCONNECTED] += 1
        else:
            self._silent[SilentClose.DISCONNECTED] += 1
        sock.close()

    def on_accept(self, server: Server, link: Link, peer: Peer) -> None:
        """Admit the connection that was screened last, let it wait, or reject it."""
        arrival = self._arrival
        verdict = arrival.verdict
        self._close_evicted(verdict)
        if verdict.placement is Placement.ADMITTED:
            self._admit(server, link, peer, arrival.number, b"")
        elif verdict.placement is Placement.WAITING:
            waiting = WaitingConnection(self, server, link, peer, arrival.number)
            self._waiting[arrival.number] = waiting
            waiting.receive(arrival.data)
        else:
            self._reject_at_once(server, link.sock, verdict)
            link.close()
            self.admission.on_connection_closed(arrival.number)

    def _admit(self, server: Server, link: Link, peer: Peer, number: int, data: bytes) -> None:
        connection = Connection(server, link, peer, number, data)
        self._admitted[number] = connection
        server.connections.add(connection)

    def _on_exhausted(self, server: Server, sock: socket.socket, peer: Peer) -> None:
        """Reject a connection that got the spare descriptor, as descriptors ran out despite the budgets."""
        address = self._peers.address(peer)
        verdict = self.admission.on_descriptors_exhausted(self.loop.now, address)
        self._reject_at_once(server, sock, verdict)

    def _reject_at_once(self, server: Server, sock: socket.socket, verdict: Verdict) -> None:
        """Reject a connection for which the waiting queue has no place; it is answered if its request has arrived."""
        answer = self.encode_rejection(server, verdict)
        if not _answer_if_asked(sock, answer):
            self._silent[SilentClose.NO_REQUEST] += 1

    def encode_rejection(self, server: Server, verdict: Verdict) -> bytes:
        """The bytes of the last answer on a rejected connection."""
        return self._rejections.encode(server, self._frontends[server], verdict)

    # --- waiting connections

    def on_first_request(self, number: int, head: bytes) -> Verdict:
        """Decide about a waiting connection by the head of its first request."""
        api_key = self._queries.api_keys.find_name(head) if AUTHORIZATION.search(head) else ""
        verdict = self.admission.on_first_request(self.loop.now, number, api_key)
        self._close_evicted(verdict)
        return verdict

    def admit_waiting(self, waiting: WaitingConnection, data: bytes) -> None:
        """Serve a waiting connection, starting with its first request, whose bytes so far are `data`."""
        self._waiting.pop(waiting.number, None)
        self._admit(waiting.server, waiting.link, waiting.peer, waiting.number, data)

    def on_waiting_closed(self, waiting: WaitingConnection, silent: SilentClose | None) -> None:
        """Remove a waiting connection that was closed; `silent` is the reason if it got no answer."""
        if silent is not None:
            self._silent[silent] += 1
        self._waiting.pop(waiting.number, None)
        self.admission.on_connection_closed(waiting.number)

    def _sweep(self) -> None:
        """Close connections that have waited too long, and remove expired bans and allowances."""
        oldest_allowed = self.loop.now - self.settings.lane_time
        while self._waiting:
            waiting = next(iter(self._waiting.values()))
            if waiting.since > oldest_allowed:
                break
            waiting.close(None if waiting.answered else SilentClose.WAITING_TIMEOUT)
        for network in self.admission.lists.remove_expired(self._wall_clock()):
            self._log("access_list_entry_expired", network=network)

    def _close_evicted(self, verdict: Verdict) -> None:
        """Close the connections that a verdict evicted; the controller has already removed their state."""
        for number in verdict.evicted:
            connection = self._admitted.pop(number, None)
            if connection is not None:
                self._silent[SilentClose.IDLE_EVICTED] += 1
                connection.link.close()
            waiting = self._waiting.pop(number, None)
            if waiting is not None:
                self._silent[SilentClose.WAITING_EVICTED] += 1
                waiting.link.close()

    # --- events of admitted connections, from the server

    def on_close(self, number: int) -> None:
        """Remove an admitted connection that has ended."""
        self._admitted.pop(number, None)
        self.admission.on_connection_closed(number)

    def expects_proxy(self, connection: Connection) -> bool:
        """Whether the connection begins with a PROXY header."""
        return (
            self.settings.proxy_protocol
            and self._peers.address(connection.peer) in self._peers.trusted
        )

    def on_proxy_header(self, connection: Connection, address: Address | None) -> Response | None:
        """Decide about a proxied client by its PROXY header; returns the rejection if the client is not admitted."""
        if address is None:
            return None
        verdict = self.admission.on_proxied_address(self.loop.now, connection.number, address)
        self._close_evicted(verdict)
        if verdict.placement is Placement.ADMITTED:
            return None
        return self._rejections.respond(self._frontends[connection.server], verdict)

    def on_protocol_error(self, connection: Connection) -> None:
        """Lower the reputation of a client whose request was malformed or too slow."""
        tracked = self.admission.connections.get(connection.number)
        if tracked is not None:
            self.admission.reputation.penalize(self.loop.now, tracked.address)

    def reserve_bytes(self, connection: Connection, size: int) -> bool:
        """Reserve memory for bytes of a request; returns False if the sender must wait or be rejected."""
        number = connection.number
        if number not in self.admission.connections:
            return True
        return self.admission.reserve_bytes(number, size)

    def release_bytes(self, connection: Connection, keep: int) -> None:
        """Release the memory of an answered request, except `keep` bytes of the next request that already arrived."""
        self.admission.release_bytes(connection.number, keep)

    def on_request_bytes(self, connection: Connection) -> None:
        """Note that bytes of a request have arrived."""
        self.admission.on_request_bytes(connection.number)

    def on_idle(self, connection: Connection) -> None:
        """Note that the connection is idle between two requests."""
        self.admission.release_bytes(connection.number, 0)
        self.admission.on_idle(connection.number)

    def idle_timeout(self, base: float) -> float:
        """Seconds for which an idle connection is kept open: `base` unless connection slots are scarce."""
        return self.admission.slots.idle_timeout(base)

    # --- operators

    def silent_closes(self) -> dict[str, int]:
        """The number of connections that were closed without an answer, by reason."""
        return {reason.value: count for reason, count in self._silent.items()}

    def view(self) -> AdmissionView:
        """The limits and their use, the decisions, and the addresses with the highest counts."""
        return make_view(self.loop.now, self.admission, self._descriptors, self.silent_closes())


def _can_reject_at_once(data: bytes) -> bool:
    """Whether the data has a complete request without an API key."""
    head, found, body = data.partition(b"\r\n\r\n")
    has_key = AUTHORIZATION.search(head) is not None
    return bool(found) and not has_key and content_length(head) <= len(body)


def _answer_if_asked(sock: socket.socket, answer: bytes) -> bool:
    """Send the answer if a request has arrived, and read the rest of the input.

    Returns:
        Whether the answer was sent.
    """
    try:
        if not sock.recv(READ_SIZE):
            return False
        sock.send(answer)
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(READ_SIZE):
            pass
    except BlockingIOError:
        return True
    except OSError:
        return False
    return True
