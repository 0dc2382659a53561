"""Tests of the keys, labels and values in the answer to `stepknot members` and in the metrics, which tools rely on."""

from __future__ import annotations

import msgspec
import pytest

from stepknot.broker.membership_view import membership_metrics, peers_view
from tests.membership.protocols import heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_the_view_has_its_stable_keys_and_a_row_for_each_member() -> None:
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record()))
    protocol.tick(0.2)

    view = msgspec.to_builtins(peers_view(protocol, 0.3))

    assert " ".join(view) == (
        "name fleet version digest joined isolated isolated_why stepped_aside stood_still live suspect "
        "at_least at_most sure counters not_taken members"
    )
    own, other = view["members"]
    assert " ".join(own) == (
        "name state address epoch incarnation self since why watched heard sign sign_by hears_me "
        "reachable reaches_me_by_report"
    )
    assert own["self"] and not own["watched"] and not own["reachable"] and own["heard"] is None
    assert (
        other["watched"]
        and not other["self"]
        and other["why"] == "the member itself reported this state"
    )


def test_the_metrics_have_their_stable_names_and_labels() -> None:
    protocol = new_protocol()
    protocol.receive(0.1, b"malformed")

    samples = [
        (sample.name, *sample.labels.values(), sample.value)
        for metric in membership_metrics(protocol, 0.3)
        for sample in metric.samples
    ]

    assert ("stepknot_peers", "alive", 1) in samples
    assert ("stepknot_peers_events_total", "dropped: malformed", 1) in samples
    assert {name for name, *_ in samples} == {
        "stepknot_peers",
        "stepknot_peers_events_total",
        "stepknot_peers_at_least",
        "stepknot_peers_at_most",
        "stepknot_peers_sure",
        "stepknot_peers_isolated",
        "stepknot_peers_version",
    }
