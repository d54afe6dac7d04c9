"""Messages between this build and 877afde, which run side by side in an upgrade."""

import msgspec
import pytest

from fuchsiaroute.gossip import _messages as present
from fuchsiaroute.gossip.tests import former_messages as former

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
def test_fields_of_the_former_build_keep_their_places(name: str) -> None:
    """Guards against a field that is read as another one."""
    kept = msgspec.structs.fields(getattr(former, name))
    found = msgspec.structs.fields(getattr(present, name))
    assert [item.name for item in found[: len(kept)]] == [item.name for item in kept]
    assert all(not item.required for item in found[len(kept) :])
