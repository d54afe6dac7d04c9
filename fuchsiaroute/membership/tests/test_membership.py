from random import Random

import pytest

from fuchsiaroute.ids import InstanceId
from fuchsiaroute.membership import (
    Contact,
    MemberEvent,
    MemberState,
    Report,
    member_state,
)
from fuchsiaroute.membership._topology import RING_COUNT, Topology
from fuchsiaroute.membership.tests.cluster import Cluster, name_of

SIZES = (3, 8, 40)
#: Time until all entries agree on a change, in a mesh and in rings.
MESH_SETTLING_SECONDS, RING_SETTLING_SECONDS = 10, 45


def settling_seconds(count):
    return MESH_SETTLING_SECONDS if count <= 12 else RING_SETTLING_SECONDS


@pytest.mark.parametrize(
    ("contact", "is_connected", "is_leaving", "expected"),
    [
        (Contact.ANSWERING, True, False, MemberState.ALIVE),
        (Contact.ANSWERING, True, True, MemberState.LEAVING),
        (Contact.LATE, True, False, MemberState.SUSPECT),
        (Contact.SILENT, True, False, MemberState.HALF_CONNECTED),
        (Contact.SILENT, False, False, MemberState.DEAD),
        (Contact.SILENT, False, True, MemberState.DEAD),
        (Contact.NOT_PROBED, False, False, MemberState.DEAD),
        (Contact.NOT_PROBED, True, False, MemberState.ALIVE),
    ],
)
def test_member_state(contact, is_connected, is_leaving, expected):
    state = member_state(contact, is_connected=is_connected, is_leaving=is_leaving)
    assert state is expected


@pytest.mark.parametrize("count", SIZES)
def test_entries_that_answer_are_alive(count):
    cluster = Cluster(count)
    cluster.run(settling_seconds(count))
    for number in range(count):
        assert set(cluster.states(number).values()) == {MemberState.ALIVE}
        assert cluster.cores[number].has_quorum


@pytest.mark.parametrize("count", SIZES)
def test_stopped_entry_is_dead_and_a_restart_differs_from_a_pause(count):
    cluster = Cluster(count)
    cluster.run(5)
    cluster.stopped.add(1)
    cluster.run(settling_seconds(count))
    assert cluster.all_see(1, MemberState.DEAD)
    for core in cluster.cores.values():
        core.drain_events()
    cluster.stopped.discard(1)
    cluster.run(settling_seconds(count))
    assert cluster.all_see(1, MemberState.ALIVE)
    assert (name_of(1), MemberEvent.RESUMED) in cluster.cores[0].drain_events()
    cluster.stopped.add(1)
    cluster.run(settling_seconds(count))
    for core in cluster.cores.values():
        core.drain_events()
    cluster.restart(1)
    cluster.run(settling_seconds(count))
    assert cluster.all_see(1, MemberState.ALIVE)
    assert (name_of(1), MemberEvent.RESTARTED) in cluster.cores[0].drain_events()
    (member,) = (
        item for item in cluster.cores[0].members() if item.instance == name_of(1)
    )
    assert member.incarnation == 2


def test_cut_link_makes_its_ends_half_connected_for_each_other_only():
    cluster = Cluster(8)
    cluster.run(5)
    cluster.cut_link(0, 1)
    cluster.run(MESH_SETTLING_SECONDS)
    assert cluster.view(0, 1) is MemberState.HALF_CONNECTED
    assert cluster.view(1, 0) is MemberState.HALF_CONNECTED
    assert cluster.view(2, 0) is cluster.view(2, 1) is MemberState.ALIVE
    cluster.cut.clear()
    cluster.run(MESH_SETTLING_SECONDS)
    assert cluster.view(0, 1) is MemberState.ALIVE


def test_stopped_entry_is_never_half_connected():
    cluster = Cluster(8)
    cluster.run(5)
    cluster.stopped.add(1)
    seen = set()
    for _ in range(20):
        cluster.run(1)
        seen |= {cluster.view(viewer, 1) for viewer in range(2, 8)}
    assert seen == {MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD}


@pytest.mark.parametrize(("count", "seconds"), [(8, 15), (40, 150)])
def test_region_that_is_cut_off_has_no_quorum(count, seconds):
    cluster = Cluster(count)
    cluster.run(10)
    region = range(count // 3)
    rest = range(count // 3, count)
    cluster.cut_groups(region, rest)
    cluster.run(seconds)
    for number in region:
        states = cluster.states(number)
        assert {states[other] for other in rest} == {MemberState.DEAD}
        assert not cluster.cores[number].has_quorum
    for number in rest:
        assert cluster.cores[number].has_quorum
    cluster.run(300)
    cluster.cut.clear()
    cluster.run(seconds)
    for number in range(count):
        assert set(cluster.states(number).values()) == {MemberState.ALIVE}


@pytest.mark.parametrize("count", SIZES)
def test_every_entry_receives_that_one_leaves_until_it_restarts(count):
    cluster = Cluster(count)
    cluster.run(settling_seconds(count))
    cluster.cores[1].announce(is_leaving=True)
    cluster.run(2 if count <= 12 else 12)
    assert cluster.all_see(1, MemberState.LEAVING)
    cluster.restart(1)
    cluster.run(settling_seconds(count))
    assert cluster.all_see(1, MemberState.ALIVE)


def test_entry_that_is_not_listed_is_added_by_its_announcement():
    cluster = Cluster(4)
    cluster.run(5)
    cluster.incarnations[4] = 1
    cluster.start(4)
    cluster.run(5)
    assert cluster.all_see(4, MemberState.ALIVE)
    cluster.stopped.add(4)
    cluster.run(80)
    assert 4 not in cluster.states(0)
    assert (name_of(4), MemberEvent.FORGOTTEN) in cluster.cores[0].drain_events()


@pytest.mark.parametrize("count", [13, 60, 390])
def test_every_living_entry_is_the_target_of_a_living_one(count):
    random = Random(count)
    members = [InstanceId(f"entry-{number}") for number in range(count)]
    topology = Topology(members)
    dead = frozenset(random.sample(members, count // 2))
    living = [member for member in members if member not in dead]
    targets = [topology.targets(member, dead) for member in living]
    assert frozenset().union(*targets) == set(living)
    assert max(map(len, targets)) <= RING_COUNT


@pytest.mark.parametrize("seed", range(6))
def test_all_entries_are_alive_again_after_random_faults(seed):
    random = Random(seed)
    count = random.choice([3, 5, 8, 20])
    cluster = Cluster(count)
    cluster.run(5)
    for _ in range(8):
        number = random.randrange(count)
        fault = random.choice(["stop", "resume", "restart", "cut", "heal"])
        if fault == "stop":
            cluster.stopped.add(number)
        elif fault == "resume":
            cluster.stopped.discard(number)
        elif fault == "restart":
            cluster.restart(number)
        elif fault == "cut":
            cluster.cut_link(number, random.randrange(count))
        else:
            cluster.cut.clear()
        cluster.run(random.randrange(1, 20))
    cluster.cut.clear()
    cluster.stopped.clear()
    cluster.run(100)
    for viewer in range(count):
        assert set(cluster.states(viewer).values()) == {MemberState.ALIVE}
        members = cluster.cores[viewer].members()
        found = {item.instance: item.incarnation for item in members}
        expected = {
            name_of(number): cluster.incarnations[number]
            for number in range(count)
            if number != viewer
        }
        assert found == expected


def test_reports_on_a_former_incarnation_are_ignored():
    cluster = Cluster(4)
    cluster.run(5)
    cluster.restart(1)
    cluster.run(5)
    cluster.cut_link(0, 1)
    cluster.run(MESH_SETTLING_SECONDS)
    outdated = tuple(
        Report(
            observer=name_of(observer),
            observer_incarnation=1,
            subject=name_of(1),
            subject_incarnation=1,
            is_reachable=False,
            sequence=1_000,
        )
        for observer in (2, 3)
    )
    cluster.cores[0].receive(name_of(2), outdated)
    cluster.run(1)
    assert cluster.view(0, 1) is MemberState.HALF_CONNECTED
