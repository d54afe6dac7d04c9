import pytest

from examples import timberline
from fuchsiaroute.advice import EntryAdvice
from fuchsiaroute.entry import CurrentConfiguration
from fuchsiaroute.serving._compose import _apply_instance_list
from fuchsiaroute.serving._peers import NoPeers
from fuchsiaroute.store import InstanceRecord

LISTED = (
    InstanceRecord(id="entry-1", address="127.0.0.1:8080", failure_domain="lakes-a"),
)


@pytest.mark.parametrize(("is_in_force", "advised"), [(False, 0), (True, 1)])
def test_listed_instances_are_not_advised_without_a_configuration(is_in_force, advised):
    current, advice = CurrentConfiguration(), EntryAdvice()
    if is_in_force:
        current.apply(1, timberline.declare())
    _apply_instance_list(LISTED, current, advice, NoPeers.TOKEN)
    assert len(advice.advise(caller="c", failure_domain="").entries) == advised
