"""The decoder of frames against frames cut anywhere, and against any bytes."""

import random

import pytest

from fuchsiaroute.tunnel._exceptions import TunnelDecodeError
from fuchsiaroute.tunnel._frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameDecoder,
    FrameKind,
    encode_frame,
)

SEEDS = range(50)
LEAVING, END = Frame(FrameKind.LEAVING), Frame(FrameKind.END)


def data(content: bytes) -> Frame:
    return Frame(FrameKind.DATA, content)


def cut(sent: bytes, rng: random.Random) -> list[bytes]:
    pieces = []
    while sent:
        size = rng.choice([1, 2, 5, 6, 100, len(sent)])
        pieces.append(sent[:size])
        sent = sent[size:]
    return pieces


def join(frames: list[Frame]) -> list[Frame]:
    """Join adjacent ``DATA`` frames, as their borders mean nothing."""
    joined: list[Frame] = []
    for frame in frames:
        if frame.kind is FrameKind.DATA and joined and joined[-1].kind is frame.kind:
            joined[-1] = data(joined[-1].data + frame.data)
        else:
            joined.append(frame)
    return joined


@pytest.mark.parametrize("seed", SEEDS)
def test_frames_cut_anywhere(seed: int) -> None:
    rng = random.Random(seed)
    frames = [data(rng.randbytes(rng.randint(1, 500))) for _ in range(30)]
    if rng.random() < 0.7:
        frames.insert(rng.randint(0, len(frames)), LEAVING)
    if rng.random() < 0.7:
        frames.append(END)
    sent = b"".join(map(encode_frame, frames))
    decoder = FrameDecoder()
    found = [frame for piece in cut(sent, rng) for frame in decoder.feed(piece)]
    assert join(found) == join(frames)


@pytest.mark.parametrize("seed", SEEDS)
def test_changed_bytes_raise_or_decode(seed: int) -> None:
    """No other error, nothing buffered, and no byte delivered that was not received."""
    rng = random.Random(seed)
    frames = [data(rng.randbytes(rng.randint(1, 50))) for _ in range(20)]
    sent = bytearray(b"".join(map(encode_frame, [*frames, LEAVING, END])))
    for _ in range(rng.randint(1, 5)):
        sent[rng.randrange(len(sent))] = rng.randrange(256)
    decoder = FrameDecoder()
    delivered: list[Frame] = []
    try:
        for piece in cut(bytes(sent), rng):
            delivered += decoder.feed(piece)
            assert len(decoder._header) < len(encode_frame(END))
    except TunnelDecodeError:
        pass
    assert sum(len(frame.data) for frame in delivered) < len(sent)
    ends = [frame.kind for frame in delivered if frame.kind is FrameKind.END]
    assert len(ends) <= 1 and (not ends or delivered[-1].kind is FrameKind.END)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_bytes_end_soon(seed: int) -> None:
    rng = random.Random(seed)
    decoder = FrameDecoder()
    with pytest.raises(TunnelDecodeError):
        for _ in range(10 * MAX_FRAME_BYTES // 1_000):
            decoder.feed(rng.randbytes(1_000))


@pytest.mark.parametrize(
    "sent",
    [
        b"\x03\x00\x00\x00\x00",
        b"\xff\xff\xff\xff\xff",
        encode_frame(data(b"")),
        b"\x00" + (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        b"\x01\x00\x00\x00\x01",
        b"\x02\x00\x00\x00\x01",
        encode_frame(LEAVING) * 2,
        encode_frame(END) * 2,
        encode_frame(END) + encode_frame(data(b"a")),
        encode_frame(END) + encode_frame(LEAVING),
    ],
    ids=[
        "unknown kind",
        "high kind",
        "empty data",
        "long data",
        "END with data",
        "LEAVING with data",
        "LEAVING twice",
        "END twice",
        "data after END",
        "LEAVING after END",
    ],
)
def test_invalid_frames(sent: bytes) -> None:
    with pytest.raises(TunnelDecodeError):
        FrameDecoder().feed(sent)


def test_part_of_a_frame_is_delivered_at_once() -> None:
    """An event of a stream does not wait for the rest of its frame."""
    decoder = FrameDecoder()
    sent = encode_frame(data(b"abcd"))
    assert decoder.feed(sent[:-2]) == [data(b"ab")]
    assert decoder.feed(sent[-2:]) == [data(b"cd")]
