"""Which requests are refused, from crashes under them and answers in some order."""

from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.quarantine import (
    Quarantine,
    SubjectKey,
    SubjectReport,
    part_keys,
    request_key,
)


def key(
    *,
    method: bytes = b"POST",
    host: str = "h",
    target: bytes = b"/a",
    caller: str = "o",
    body: bytes = b"x",
) -> SubjectKey:
    return request_key(
        method=method, host=host, target=target, caller=caller, body=body
    )


BAD, SOUND = key(), key(body=b"y")
(PART,) = part_keys(["part"])
(OTHER_PART,) = part_keys(["other"])


@pytest.mark.parametrize(
    "other",
    [
        key(target=b"/b"),
        key(target=b"/a?b"),
        key(caller="p"),
        key(body=b"y"),
        key(host="g"),
        key(method=b"GET"),
        # The same bytes in other places.
        key(target=b"/ao", caller=""),
    ],
)
def test_requests_that_endpoints_can_tell_apart_have_different_keys(
    other: SubjectKey,
) -> None:
    assert other != key()
    # The keys of requests and of prompt parts are told apart by their signs.
    assert -(2**63) <= other < 0
    assert PART >= 0


class Instance:
    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.quarantine = Quarantine(
            clock=self.clock,
            random=Random(),
            log=LineLog(clock=self.clock, instance="i", write=len),
        )

    def crash(
        self, *subjects: SubjectKey, endpoint: str = "e", follows: bool = False
    ) -> None:
        self.quarantine.record_crash(
            subjects, EndpointId(endpoint), follows_crash=follows
        )

    def wait(self, duration: int) -> None:
        self.clock.tick(Milliseconds(duration))
        self.quarantine.refresh()

    def is_refused(self, *subjects: SubjectKey) -> bool:
        return self.quarantine.refusal_time(frozenset(subjects)) is not None

    def may_retry(self, *subjects: SubjectKey) -> bool:
        return self.quarantine.may_retry(frozenset(subjects))


@pytest.mark.parametrize(
    ("times", "is_refused", "may_retry"),
    [(1, False, True), (2, False, False), (3, True, False)],
)
@pytest.mark.parametrize("is_one_endpoint", [False, True])
def test_request_is_refused_after_independent_crashes(
    times: int, is_refused: bool, may_retry: bool, is_one_endpoint: bool
) -> None:
    instance = Instance()
    for number in range(times):
        instance.crash(BAD, endpoint="e" if is_one_endpoint else f"e{number}")
        instance.wait(1_000)
    assert instance.is_refused(BAD) is is_refused
    assert instance.may_retry(BAD) is may_retry
    assert not instance.is_refused(SOUND)


@pytest.mark.parametrize(("follows", "may_retry"), [(True, False), (False, True)])
def test_crash_under_a_request_sent_after_another_has_no_common_cause(
    follows: bool, may_retry: bool
) -> None:
    """Endpoints that are lost together end copies of one request at the same time."""
    instance = Instance()
    instance.crash(BAD, endpoint="e1")
    instance.wait(40)
    instance.crash(BAD, endpoint="e2", follows=follows)
    assert instance.may_retry(BAD) is may_retry


def test_crashes_at_several_instances_count_together() -> None:
    clock = ManualClock()
    instances = [Instance(clock) for _ in range(3)]
    for number, instance in enumerate(instances):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.wait(400)
    for one in instances:
        for other in instances:
            other.quarantine.apply_crashes(one.quarantine.crashes())
    for instance in instances:
        instance.wait(200)
        assert instance.is_refused(BAD)


def test_answer_shows_that_a_request_is_not_the_cause() -> None:
    instance = Instance()
    for number in range(4):
        instance.crash(SOUND, endpoint=f"e{number}")
        instance.wait(1_000)
        instance.quarantine.record_answer({SOUND})
    assert not instance.is_refused(SOUND)
    assert not instance.quarantine.has_crashes(SOUND)


def test_sound_requests_beside_the_crashing_one_are_served() -> None:
    """All endpoints may be down, so that nothing is answered between the crashes."""
    instance = Instance()
    instance.quarantine.record_answer({SOUND})
    instance.wait(1_000)
    for number in range(3):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.crash(SOUND, endpoint=f"e{number}")
        instance.wait(1_000)
    assert instance.is_refused(BAD)
    assert not instance.is_refused(SOUND)


def test_crash_under_a_refused_request_counts_against_no_other() -> None:
    """Copies that were sent before the decision crash further endpoints."""
    instance = Instance()
    for number in range(3):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.wait(1_000)
    for number in range(5):
        instance.crash(BAD, endpoint=f"f{number}")
        instance.crash(SOUND, endpoint=f"f{number}")
        instance.wait(1_000)
    assert not instance.is_refused(SOUND)
    assert instance.may_retry(SOUND)


def test_part_of_a_refused_request_is_judged_by_its_own_evidence() -> None:
    """Guards against a crashing prompt part that is taken for a crashing request."""
    instance = Instance()
    instance.quarantine.record_answer(part_keys("abcdef"))
    for number in range(3):
        instance.crash(BAD, PART, endpoint=f"e{number}")
        instance.wait(1_600)
    assert instance.is_refused(BAD)
    assert instance.is_refused(SOUND, PART)


@pytest.mark.parametrize(
    "pair", [(BAD, SOUND), (PART, OTHER_PART)], ids=["requests", "parts"]
)
@pytest.mark.parametrize("delay", [1, 5, 20])
def test_crash_noticed_at_different_times_counts_for_all_or_none(
    pair: tuple[SubjectKey, SubjectKey], delay: int
) -> None:
    """Guards against refusing the request whose connection happened to end first."""
    instance = Instance()
    instance.quarantine.record_answer(part_keys("abcdef"))
    for number in range(3):
        for subject in pair:
            instance.crash(subject, endpoint=f"e{number}")
            instance.clock.tick(Milliseconds(delay))
        for _ in range(300):
            instance.wait(1)
            assert not any(map(instance.is_refused, pair))
        instance.wait(2_000)


@pytest.mark.parametrize("is_cleared", [False, True])
def test_quarantine_from_the_store_or_a_peer(is_cleared: bool) -> None:
    instance = Instance()
    report = SubjectReport(BAD, instance.clock.now())
    instance.wait(1_000)
    if is_cleared:
        instance.quarantine.record_answer({BAD})
    instance.quarantine.apply_quarantine(report, source="store")
    assert instance.is_refused(BAD) is not is_cleared


@pytest.mark.parametrize("crashes", [1, 2])
def test_requests_in_the_same_crashes_are_sent_in_turns(crashes: int) -> None:
    """
    Guards against refusing sound requests that are in all crashes beside the bad one.

    That is so where a service has one endpoint, on which nothing is answered between.
    """
    instance = Instance()
    requests = [key(body=b"%d" % number) for number in range(12)]
    for number in range(crashes):
        for request in requests:
            instance.crash(request, endpoint=f"e{number}")
        instance.wait(1_000)
    sent = {request: 0 for request in requests}
    for _ in range(12):
        turn = [
            request
            for request in requests
            if not instance.quarantine.is_held_back(request)
        ]
        for request in turn:
            sent[request] += 1
        assert crashes < 2 or 0 < len(turn) < len(requests)
        instance.wait(1_000)
    assert all(count > 0 for count in sent.values())


@pytest.mark.parametrize("sound_count", [1, 3, 7])
@pytest.mark.parametrize("restart_time", [1_100, 2_100])
def test_turns_tell_the_crashing_request_from_sound_ones(
    sound_count: int, restart_time: int
) -> None:
    """Requests are repeated at a service with one endpoint; one of them crashes it."""
    for case in range(200):
        instance = Instance()
        bad, *sound = [key(body=b"%d %d" % (case, n)) for n in range(sound_count + 1)]
        crashes = 0
        end = instance.clock.now() + 20_000
        while instance.clock.now() < end:
            sent = [
                request
                for request in (bad, *sound)
                if not instance.is_refused(request)
                and not instance.quarantine.is_held_back(request)
            ]
            if bad in sent:
                crashes += 1
                for request in sent:
                    instance.crash(request)
                instance.wait(restart_time)
            else:
                instance.quarantine.record_answer(sent)
                instance.wait(100)
        assert instance.is_refused(bad)
        assert crashes <= 6
        assert not any(map(instance.is_refused, sound))


@pytest.mark.parametrize("delay", [0, 50, 250])
@pytest.mark.parametrize(("times", "is_held_back"), [(2, False), (3, True)])
def test_request_waits_until_its_last_crash_is_decided_on(
    times: int, is_held_back: bool, delay: int
) -> None:
    """A caller repeats it at once, before the reports of other instances are in."""
    instance = Instance()
    for number in range(times - 1):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.wait(2_000)
    instance.crash(BAD, endpoint=f"e{times}")
    instance.clock.tick(Milliseconds(delay))
    assert instance.quarantine.is_held_back(BAD) is is_held_back


def test_request_without_others_in_its_crashes_does_not_wait() -> None:
    instance = Instance()
    for number, request in enumerate((BAD, SOUND)):
        for crash in range(2):
            instance.crash(request, endpoint=f"e{number}{crash}")
            instance.wait(2_000)
    assert not instance.quarantine.is_held_back(BAD)
    assert not instance.quarantine.is_held_back(SOUND)


@pytest.mark.parametrize("times", [2, 3])
def test_crashes_under_many_other_requests_hide_none(times: int) -> None:
    """A crash of an engine is one under all requests that it had not answered."""
    instance = Instance()
    for number in range(times):
        instance.crash(BAD, endpoint=f"e{number}")
        instance.wait(1_000)
    for number in range(1_500):
        instance.crash(key(body=b"%d" % number), endpoint="f")
    instance.wait(1_000)
    assert not instance.may_retry(BAD)
    assert instance.is_refused(BAD) is (times == 3)
