"""Changes of large row values, as copies from the former value and new bytes."""

from fuchsiaroute.rowpatch._chains import MIN_PATCHED_BYTES, PatchChains
from fuchsiaroute.rowpatch._exceptions import PatchError
from fuchsiaroute.rowpatch._patch import Piece, RowPatch, apply_patch, make_patch

__all__ = [
    "MIN_PATCHED_BYTES",
    "PatchChains",
    "PatchError",
    "Piece",
    "RowPatch",
    "apply_patch",
    "make_patch",
]
