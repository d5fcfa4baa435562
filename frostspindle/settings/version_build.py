"""Builds the version of a draft and its intersection with the active version, in slices. No I/O.

A build changes no replicated state, so it can run before the draft's publication, which then uses its result.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.settings.drafts import WaitingDraft
from frostspindle.settings.intersection import Table, intersect_with_child_in_slices
from frostspindle.settings.schema import MAX_VERSION_BYTES, InvalidSettingsError
from frostspindle.settings.slices import SlicedWork
from frostspindle.settings.validation import validate_in_slices
from frostspindle.settings.version_encoding import unpack_changes_in_slices
from frostspindle.settings.versions import Version, VersionHistory

MAX_HISTORY_BYTES = 3 << 20  # the oldest version and the changes of the others; a snapshot is limited to 4 MiB


class BuiltVersion(NamedTuple):
    """The version of a draft, and its intersection with the active version that it was built on."""

    version: Version
    intersection: Table


@dataclass(slots=True)
class VersionBuild:
    """The build of a draft's version: the remaining work, and the result or the error once it has finished."""

    draft: str
    active_version: int
    work: SlicedWork[BuiltVersion]
    result: BuiltVersion | None = None
    error: str = ""

    @property
    def is_finished(self) -> bool:
        """Whether the build has a result or an error."""
        return self.result is not None or bool(self.error)

    def run_slice(self) -> None:
        """Run one more slice."""
        try:
            next(self.work)
        except StopIteration as end:
            self.result = end.value
        except InvalidSettingsError as error:
            self.error = str(error)

    def run_to_end(self) -> BuiltVersion:
        """Run the remaining slices and return the result. Raise InvalidSettingsError if the version is invalid."""
        while not self.is_finished:
            self.run_slice()
        if self.result is None:
            raise InvalidSettingsError(self.error)
        return self.result


def build_in_slices(
    waiting: WaitingDraft, active: Version, versions: VersionHistory, number: int
) -> SlicedWork[BuiltVersion]:
    """Build a complete draft. Raise InvalidSettingsError if it is invalid or not based on the active version."""
    draft = waiting.first_piece
    if draft.target_version >= 0:
        target = versions.get(draft.target_version)
        if target is None:
            raise InvalidSettingsError(f"version {draft.target_version} is not kept any more")
        changes = versions.changes_between(active.number, target.number)
        digest = target.digest_bytes
    else:
        if draft.base_version != active.number:
            raise InvalidSettingsError(
                f"base: drafted on version {draft.base_version}, the live one is {active.number}"
            )
        changes = yield from unpack_changes_in_slices(b"".join(waiting.assembly.pieces))
        digest = draft.digest
    version = yield from active.child_in_slices(number, changes, draft.key)
    if version.digest_bytes != digest:
        raise InvalidSettingsError("checksum: the changes don't make the rules that were drafted")
    yield from validate_in_slices(version.rules, version.changes)
    intersection = yield from intersect_with_child_in_slices(active.rules, version.rules, version.changes)
    return BuiltVersion(version, intersection)


def check_publishable(
    version: Version, active: Version, rolled_back_digests: Mapping[bytes, int], needed: list[Version]
) -> None:
    """Check a built version against the history. Raise InvalidSettingsError if it must not be published.

    `needed` are the versions that may be active, oldest first; together with the new one they must fit into a snapshot.
    """
    if version.digest_bytes in rolled_back_digests:
        number = rolled_back_digests[version.digest_bytes]
        raise InvalidSettingsError(f"harmful: these are the rules of version {number}, which was rolled back")
    if version.digest == active.digest and active.number:
        raise InvalidSettingsError("same: these are the rules of the live version")
    if version.size > MAX_VERSION_BYTES:
        raise InvalidSettingsError(f"entries of {version.size} bytes, at most {MAX_VERSION_BYTES}")
    total_bytes = history_bytes(needed) + version.changes_size if needed else version.size
    if total_bytes > MAX_HISTORY_BYTES:
        raise InvalidSettingsError(
            f"too large a change: with the versions still needed more than {MAX_HISTORY_BYTES} bytes"
        )


def history_bytes(versions: list[Version]) -> int:
    """Return the uncompressed size of the first version plus the changes of the others."""
    return versions[0].size + sum(version.changes_size for version in versions[1:])
