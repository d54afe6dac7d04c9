"""Whether a request may have run, and the refusals that carry the verdict."""

from fuchsiaroute.verdict._refusal import Refusal, RefusalReason
from fuchsiaroute.verdict._verdict import Verdict, combine_verdicts

__all__ = ["Refusal", "RefusalReason", "Verdict", "combine_verdicts"]
