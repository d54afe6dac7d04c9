import pytest

from fuchsiaroute.verdict import Verdict, combine_verdicts

NOT_RUN, MAY, RUN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RUN


@pytest.mark.parametrize(
    ("attempts", "expected"),
    [
        ((), NOT_RUN),
        ((NOT_RUN, NOT_RUN), NOT_RUN),
        ((MAY, NOT_RUN), MAY),
        ((NOT_RUN, RUN, MAY), RUN),
    ],
)
def test_verdict_on_a_request_is_that_of_its_most_severe_attempt(attempts, expected):
    assert combine_verdicts(attempts) is expected
