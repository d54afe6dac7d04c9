"""Verdicts on whether a request has run."""

from collections.abc import Iterable
from enum import Enum


class Verdict(Enum):
    """Whether a request has run, across all entries and attempts."""

    #: No endpoint can have started the request, and none will.
    NOT_RUN = "not-run"
    #: An endpoint may have run the request.
    MAY_HAVE_RUN = "may-have-run"
    #: An endpoint ran the request.
    RUN = "run"


_SEVERITY = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RUN: 2}


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict on a request from the verdicts on its attempts."""
    return max(verdicts, key=_SEVERITY.__getitem__, default=Verdict.NOT_RUN)
