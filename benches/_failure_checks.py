"""Checks of the product's guarantees after a run with injected failures."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from benches._failure_traffic import RequestHistory
from fuchsiaroute.standin import RunRecord

NOT_RUN = "not-run"
#: Time within which all entries must apply a withdrawal or a declared outage.
MAX_APPLY_MILLISECONDS = 3_000


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of one check; the guarantee holds if there are no violations."""

    guarantee: str
    cases: int
    violations: tuple[str, ...]


def check_at_most_once(
    histories: Sequence[RequestHistory], runs: Sequence[RunRecord]
) -> CheckResult:
    """Check that non-idempotent requests ran at most once."""
    counts = Counter(run.subject for run in runs)
    cases = [history for history in histories if not history.is_idempotent]
    bad = tuple(
        f"{history.request} ran {counts[history.request]} times"
        for history in cases
        if counts[history.request] > 1
    )
    return CheckResult(
        guarantee="non-idempotent at most once", cases=len(cases), violations=bad
    )


def check_not_run(
    histories: Sequence[RequestHistory], runs: Sequence[RunRecord]
) -> CheckResult:
    """Check that no request had run when a response reported ``not-run``."""
    starts: dict[str, list[int]] = defaultdict(list)
    for run in runs:
        starts[run.subject].append(run.at)
    reported = [
        (history, response)
        for history in histories
        for response in history.responses
        if response.verdict == NOT_RUN
    ]
    bad = tuple(
        f"{history.request} ran at {min(starts[history.request])}, but not-run was"
        f" reported at {response.at} ({response.reason})"
        for history, response in reported
        if any(start <= response.at for start in starts[history.request])
    )
    return CheckResult(
        guarantee="not-run verdicts are true", cases=len(reported), violations=bad
    )


def check_billed_once(
    histories: Sequence[RequestHistory], ledger: Counter[tuple[str, str]]
) -> CheckResult:
    """Check that each answered request has exactly one ledger record."""
    answered = [history for history in histories if history.is_answered]
    start = min(history.responses[0].at for history in answered)
    bad = tuple(
        f"{history.request} has"
        f" {ledger[(history.organisation, history.request)]} records;"
        f" answered by {history.responses[-1].entry}"
        f" {history.responses[-1].at - start} ms after the start"
        for history in answered
        if ledger[(history.organisation, history.request)] != 1
    )
    return CheckResult(
        guarantee="answered requests are billed once",
        cases=len(answered),
        violations=bad,
    )


def check_sessions(histories: Sequence[RequestHistory]) -> CheckResult:
    """Check that all responses of a session came from one version."""
    versions: dict[tuple[str, str], set[str]] = defaultdict(set)
    for history in histories:
        for response in history.responses:
            if response.is_whole and response.version:
                versions[(history.organisation, history.session)].add(response.version)
    bad = tuple(
        f"{organisation} {session} got versions {sorted(seen)}"
        for (organisation, session), seen in versions.items()
        if len(seen) > 1
    )
    return CheckResult(
        guarantee="a session keeps its version", cases=len(versions), violations=bad
    )


def check_change_applied(
    *, guarantee: str, runs: Sequence[RunRecord], accepted_at: int, until: int
) -> CheckResult:
    """Check that none of ``runs`` began after a change had to be in force."""
    late = [
        run for run in runs if accepted_at + MAX_APPLY_MILLISECONDS < run.at < until
    ]
    bad = tuple(
        f"{run.subject} ran {run.at - accepted_at} ms after the change" for run in late
    )
    return CheckResult(guarantee=guarantee, cases=len(runs), violations=bad)


def check_error_verdicts(histories: Sequence[RequestHistory]) -> CheckResult:
    """Check that every error response carried a verdict."""
    errors = [
        (history, response)
        for history in histories
        for response in history.responses
        if response.status >= 400
    ]
    bad = tuple(
        f"{history.request} had status {response.status} without a verdict"
        for history, response in errors
        if response.verdict in ("", "untyped")
    )
    return CheckResult(
        guarantee="every error has a verdict", cases=len(errors), violations=bad
    )
