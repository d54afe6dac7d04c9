"""The latest patches of each row, to send them to peers that hold a former value."""

from collections.abc import Iterable, Sequence

from fuchsiaroute.rowpatch._patch import RowPatch, make_patch
from fuchsiaroute.store import StorePosition

#: Size of a value from which on its changes are kept as patches. Smaller ones fit into
#: one packet or a few.
MIN_PATCHED_BYTES = 4_000
#: Patches of one row that are kept, and their size: those of some seconds of changes in
#: quick succession.
MAX_CHAIN_PATCHES = 64
MAX_CHAIN_BYTES = 96_000


class PatchChains:
    """For each row, patches that lead to its present value one after the other."""

    def __init__(self) -> None:
        self._chains: dict[str, list[RowPatch]] = {}

    def clear(self) -> None:
        """Forget all patches, as the rows are of another history."""
        self._chains.clear()

    def remove(self, key: str) -> None:
        """Forget the patches of a row."""
        self._chains.pop(key, None)

    def record(
        self,
        key: str,
        former: tuple[bytes, StorePosition] | None,
        present: tuple[bytes, StorePosition],
    ) -> None:
        """Make the patch from the ``former`` value of a row to the ``present`` one."""
        value, revision = present
        if former is None or len(value) < MIN_PATCHED_BYTES:
            self.remove(key)
            return
        former_value, base = former
        if revision == base:
            return
        patch = make_patch(key, former_value, value, base=base, revision=revision)
        self.extend(key, [] if patch is None else [patch], base=base)

    def extend(
        self, key: str, patches: Iterable[RowPatch], *, base: StorePosition
    ) -> None:
        """Add patches of a row that lead from its value at ``base`` to the present."""
        added = list(patches)
        chain = self._chains.setdefault(key, [])
        if not added or (chain and chain[-1].revision != base):
            chain.clear()
        chain += added
        size = sum(patch.size for patch in chain)
        while chain and (len(chain) > MAX_CHAIN_PATCHES or size > MAX_CHAIN_BYTES):
            size -= chain.pop(0).size

    def after(self, key: str, position: StorePosition) -> Sequence[RowPatch] | None:
        """
        Return the patches for a peer that holds all changes up to ``position``.

        None is returned if they do not lead there from the value that the peer holds.
        """
        needed = [
            patch for patch in self._chains.get(key, ()) if patch.revision > position
        ]
        if not needed or needed[0].base > position:
            return None
        return needed
