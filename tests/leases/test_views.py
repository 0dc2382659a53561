"""The admin answer `/owner` is compared byte for byte with the answers that an earlier version gave."""

from __future__ import annotations

import orjson
import pytest

from stepknot.broker.lease_views import build_leases_view
from stepknot.leases import messages, rolling_drains
from stepknot.leases.job import JobHandler
from stepknot.leases.node import LeaseNode
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter

pytestmark = pytest.mark.cpu_only

MEMBERS = ["A", "B", "C"]
STATE = rolling_drains.DrainState(
    rolling_drains.DrainPlan("a", 2, 30.0, 0.02, True),
    "halted",
    "n3",
    ["n2", "n3"],
    7,
    "5.0% of queries fail, over 2.0%",
    ["n1"],
)
RECORD = messages.LedgerRecord(4, 2, rolling_drains.encode_state(STATE))
SAVES = 3
WITHOUT_HOLDER = (
    '{"name":"A","voters":["A","B","C"],"lease":2.0,"jobs":[{"job":"drains","owner":"","last_ow'
    'ner":"","epoch":0,"here":false,"phase":"idle","heard":null,"since":null,"till":null,"why":'
    '"","known_epoch":0,"granted_by":[],"version":null,"ready":false,"older_refused":0}],"drain'
    's":null,"voter":{"votes":true,"life":2,"broken":"","promised":{},"saves":3},"counters":{"d'
    'ropped: malformed":1}}'
)
HOLDING = (
    '{"name":"A","voters":["A","B","C"],"lease":2.0,"jobs":[{"job":"drains","owner":"A","last_o'
    'wner":"A","epoch":5,"here":true,"phase":"owning","heard":0.0,"since":0.5,"till":1.4,"why":'
    '"","known_epoch":5,"granted_by":["B","C","A"],"version":[5,1],"ready":true,"older_refused"'
    ':0}],"drains":{"drain":{"zone":"a","at_most":2,"every":30.0,"failing":0.02,"force":true},"'
    'status":"halted","cursor":"n3","out":["n2","n3"],"steps":7,"why":"5.0% of queries fail, ov'
    'er 2.0%","orders":["n1"]},"voter":{"votes":true,"life":2,"broken":"","promised":{"drains":'
    '5},"saves":3},"counters":{"dropped: malformed":1,"owning":1,"committed":1}}'
)


def started_node() -> LeaseNode:
    """A voter's node that was started at time 0 and has dropped one datagram."""
    settings = LeaseSettings(("A", "B", "C"))
    voter = LeaseVoter("A", settings, messages.VoterState("stepknot", "A", 2, {}, []))
    handler = JobHandler(
        lambda now, value: None, lambda value, number, body: value, lambda record: None
    )
    node = LeaseNode(ProcessId("A", 1), settings, voter, {"drains": handler}, 1, lambda name: True)
    node.receive(0.0, b"\xc1")
    node.tick(0.0, MEMBERS)
    return node


def receive_from_others(node: LeaseNode, now: float, message: messages.Message) -> None:
    for name in ("B", "C"):
        node.receive(now, messages.encode("stepknot", ProcessId(name, 1), message))


def deliver_own(node: LeaseNode, now: float) -> None:
    """Deliver the datagrams that the node sent to itself."""
    for datagram in node.take_output().datagrams:
        if datagram.receiver == "A":
            node.receive(now, datagram.data)


def test_the_answer_of_a_broker_that_knows_nothing_is_as_recorded() -> None:
    node = started_node()
    assert orjson.dumps(build_leases_view(node, 10.0, SAVES)).decode() == WITHOUT_HOLDER


def test_the_answer_of_a_lease_holder_is_as_recorded() -> None:
    node = started_node()
    node.take_output()
    receive_from_others(node, 10.0, messages.RecordReport("drains", 1, {}, RECORD, 2))
    node.tick(12.0, MEMBERS)
    deliver_own(node, 12.0)
    epoch = node.jobs["drains"].candidate.epoch
    receive_from_others(node, 12.0, messages.Promise("drains", epoch, 1, {}, RECORD))
    deliver_own(node, 12.0)
    deliver_own(node, 12.0)
    receive_from_others(node, 12.0, messages.Accepted("drains", epoch, 1, 1, {}))
    node.tick(12.5, MEMBERS)
    assert orjson.dumps(build_leases_view(node, 12.5, SAVES)).decode() == HOLDING
