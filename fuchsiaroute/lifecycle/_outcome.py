"""Outcomes of a dispatch to an endpoint, and their verdicts."""

from enum import Enum

from fuchsiaroute.verdict import Verdict


class Outcome(Enum):
    """How a dispatch to an endpoint ended."""

    #: The whole answer arrived.
    ANSWERED = "answered"
    #: The endpoint refused the request before running it, because it is cold.
    REFUSED_COLD = "refused-cold"
    #: The endpoint refused the request before running it, because it is full.
    REFUSED_FULL = "refused-full"
    #: The endpoint refused a request before running it, but the answer names none: it
    #: may be one to an earlier request.
    REFUSED_UNNAMED = "refused-unnamed"
    #: The dispatch failed before any byte of the request was sent.
    FAILED_BEFORE_SENT = "failed-before-sent"
    #: No byte was sent because the reservation was no longer valid; this does not count
    #: as a failure of the endpoint.
    REVOKED = "revoked"
    #: No byte was sent because this instance's path to the endpoint is cut; this does
    #: not count as a failure of the endpoint.
    PATH_CUT = "path-cut"
    #: This instance's path to the endpoint was lost after a byte may have been sent;
    #: this does not count as a failure of the endpoint.
    PATH_LOST = "path-lost"
    #: The connection or the endpoint failed after a byte may have been sent.
    FAILED_AFTER_SENT = "failed-after-sent"
    #: No progress within the progress deadline.
    SILENT = "silent"
    #: The answer ended early.
    TRUNCATED = "truncated"
    #: The caller or the router cancelled the request.
    CANCELLED = "cancelled"


#: Outcomes that show a working endpoint and reset its consecutive failures.
HEALTHY_OUTCOMES = frozenset(
    {
        Outcome.ANSWERED,
        Outcome.REFUSED_COLD,
        Outcome.REFUSED_FULL,
        Outcome.REFUSED_UNNAMED,
    }
)

#: Outcomes after which the endpoint may still be working on the request.
UNSETTLED_OUTCOMES = frozenset(
    {
        Outcome.REFUSED_UNNAMED,
        Outcome.PATH_LOST,
        Outcome.FAILED_AFTER_SENT,
        Outcome.SILENT,
        Outcome.TRUNCATED,
        Outcome.CANCELLED,
    }
)

#: Whether the request may have run, by outcome.
OUTCOME_VERDICTS: dict[Outcome, Verdict] = {
    Outcome.ANSWERED: Verdict.RUN,
    Outcome.REFUSED_COLD: Verdict.NOT_RUN,
    Outcome.REFUSED_FULL: Verdict.NOT_RUN,
    Outcome.REFUSED_UNNAMED: Verdict.MAY_HAVE_RUN,
    Outcome.FAILED_BEFORE_SENT: Verdict.NOT_RUN,
    Outcome.REVOKED: Verdict.NOT_RUN,
    Outcome.PATH_CUT: Verdict.NOT_RUN,
    Outcome.PATH_LOST: Verdict.MAY_HAVE_RUN,
    Outcome.FAILED_AFTER_SENT: Verdict.MAY_HAVE_RUN,
    Outcome.SILENT: Verdict.MAY_HAVE_RUN,
    Outcome.TRUNCATED: Verdict.RUN,
    Outcome.CANCELLED: Verdict.MAY_HAVE_RUN,
}
