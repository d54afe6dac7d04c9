"""Messages between this build and former ones, side by side in an upgrade."""

from typing import Any

import msgspec
import pytest

from fuchsiaroute.gossip import _messages as present
from fuchsiaroute.gossip.tests import (
    former_messages as former,
    former_messages_602d5d1 as latest,
)

ROLLOUT = ("app", "v2", 9, 1, 500)
FIELDS: dict = {
    "format": present.FORMAT,
    "instance": "a",
    "count": 7,
    "is_ready": True,
    "frontend": "10.0.0.1:80",
    "failure_domain": "z1",
    "port": 7_000,
    "loads": {"i-1": (2, 30)},
    "heartbeats": [],
    "revisions": {"ORDERS": 4},
    "evidence": [],
    "suspended": [("app", 9)],
    "sessions": [],
    "answer_ages": {},
    "region": "r",
    "tunnel_port": 7_001,
    "is_cut": True,
}


def test_former_build_reads_messages_of_this_one() -> None:
    """Guards against instances that do not hear of each other in an upgrade."""
    message = present.GossipMessage(
        **FIELDS,
        rollouts=[present.RolloutUpdate(*ROLLOUT, attempt=2)],
        outcomes=[present.VersionOutcome("app", "v1", 3, 3, 0, 1)],
        addition=present.LATEST_ADDITION,
    )
    found = former.decode_message(present.encode_message(message))
    expected = former.GossipMessage(**FIELDS, rollouts=[former.RolloutUpdate(*ROLLOUT)])
    assert found == expected


def test_this_build_reads_messages_of_the_former_one() -> None:
    message = former.GossipMessage(**FIELDS, rollouts=[former.RolloutUpdate(*ROLLOUT)])
    found = present.decode_message(former.encode_message(message))
    expected = present.GossipMessage(
        **FIELDS, rollouts=[present.RolloutUpdate(*ROLLOUT)]
    )
    assert found == expected
    assert found.addition < present.ROLLOUT_ATTEMPTS


def test_demand_of_this_build_is_skipped_by_the_latest_one() -> None:
    """Guards against an upgrade in which waiting requests cut instances apart."""
    rollouts = [(*ROLLOUT, 2)]
    message = present.GossipMessage(
        **FIELDS,
        rollouts=[present.RolloutUpdate(*item) for item in rollouts],
        addition=present.LATEST_ADDITION,
        flows=[present.FlowUpdate("app", 0, "org", 3, 4)],
    )
    found = latest.decode_message(present.encode_message(message))
    assert found == latest.GossipMessage(
        **FIELDS,
        rollouts=[latest.RolloutUpdate(*item) for item in rollouts],
        addition=present.LATEST_ADDITION,
    )


def test_latest_build_has_no_demand() -> None:
    message = latest.GossipMessage(**FIELDS, rollouts=[])
    found = present.decode_message(latest.encode_message(message))
    assert found == present.GossipMessage(**FIELDS, rollouts=[])
    assert found.flows == []


@pytest.mark.parametrize("build", [former, latest])
@pytest.mark.parametrize(
    "name",
    [
        "Heartbeat",
        "RolloutEvidence",
        "SessionUpdate",
        "LatencyUpdate",
        "PromptCrash",
        "PromptPartUpdate",
        "RelayedRow",
        "TableUpdate",
        "TableRequest",
        "RateUpdate",
        "PermitRequest",
        "PermitReply",
        "BrittleUpdate",
        "PlaceReport",
        "PlaceReply",
        "GossipMessage",
        "RolloutUpdate",
    ],
)
def test_fields_of_former_builds_keep_their_places(name: str, build: Any) -> None:
    """Guards against a field that is read as another one."""
    kept = msgspec.structs.fields(getattr(build, name))
    found = msgspec.structs.fields(getattr(present, name))
    assert [item.name for item in found[: len(kept)]] == [item.name for item in kept]
    assert all(not item.required for item in found[len(kept) :])
