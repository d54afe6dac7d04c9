"""Classification of weak answers."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

import msgspec

from fuchsiaroute.decoding import DECODER_ERRORS

#: An answer with a reported confidence below this value is weak.
DEFAULT_CONFIDENCE_THRESHOLD = 0.5


class ConfidenceUnknown(Enum):
    """Sentinel: the engine reported no confidence."""

    TOKEN = "unknown"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """The properties of a complete, buffered answer that decide whether it is weak."""

    tokens: int
    #: Confidence reported by the engine, from 0 to 1.
    confidence: float | Literal[ConfidenceUnknown.TOKEN] = ConfidenceUnknown.TOKEN
    #: Whether the engine stopped at its length limit.
    is_truncated: bool = False


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int = 1


class _Completion(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage = msgspec.field(default_factory=_Usage)
    confidence: float | None = None


_DECODER = msgspec.json.Decoder(_Completion)
_FINISHED_AT_LENGTH_LIMIT = "length"


def read_answer(body: bytes) -> Answer:
    """
    Return the properties of the completion in the JSON ``body``.

    A body of another form counts as an answer of ``len(body)`` tokens with unknown
    confidence, so it is not weak unless it is empty: without evidence against it, the
    engine's answer is forwarded.
    """
    try:
        completion = _DECODER.decode(body)
    except DECODER_ERRORS:
        return Answer(tokens=len(body))
    confidence = completion.confidence
    return Answer(
        tokens=completion.usage.completion_tokens,
        confidence=ConfidenceUnknown.TOKEN if confidence is None else confidence,
        is_truncated=any(
            item.finish_reason == _FINISHED_AT_LENGTH_LIMIT
            for item in completion.choices
        ),
    )


def is_weak(answer: Answer, *, threshold: float = DEFAULT_CONFIDENCE_THRESHOLD) -> bool:
    """
    Return whether ``answer`` is weak, so that a cascade should escalate.

    Empty and truncated answers are weak, and so are answers with a confidence below
    ``threshold``. An unknown confidence alone does not make an answer weak; otherwise
    all answers of engines that report none would be escalated.
    """
    if answer.tokens == 0 or answer.is_truncated:
        return True
    if answer.confidence is ConfidenceUnknown.TOKEN:
        return False
    return answer.confidence < threshold
