"""Application of releases: checks a release note and writes the configuration atomically."""

import hashlib
import logging
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec
from msgspec.structs import replace

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.entry.config_holder import ConfigHolder
from chicorycrank.entry.fleet_view import Fleet
from chicorycrank.entry.guarantee_check import check_fleet, touched_regions
from chicorycrank.model.config import HISTORY_LENGTH, ChangeSummary, Config, ReleaseNote
from chicorycrank.model.ids import Generation, Nonce
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Entry, Store, StoreError, VersionConflictError
from chicorycrank.settings.findings import Finding, Problem, locate_problems
from chicorycrank.settings.release import read_release

CONFIG_KEY = "shared/config"
WRITE_RESOLUTION_TIMEOUT_S = 10.0
RESOLVE_INTERVAL = timedelta(seconds=0.5)
RETRY_AFTER_S = 2.0
MAX_DOCUMENT_BYTES = 900_000  # the store accepts values up to 1 MB

logger = logging.getLogger("absl")


class ReleaseResult(Enum):
    """Outcome of a release."""

    ACCEPTED = "accepted"
    FINDINGS = "findings"
    CONFLICT = "conflict"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class ReleaseReply:
    """Answer to a release.

    :param generation: generation of the accepted release, or the current one otherwise
    :param findings: problems found in the note
    :param changes: for a conflict, releases accepted since the one the note is based on
    :param keys: keys that the release changes
    """

    result: ReleaseResult
    generation: Generation
    detail: str = ""
    findings: tuple[Finding, ...] = ()
    changes: tuple[ChangeSummary, ...] = ()
    keys: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class _PreparedWrite:
    """Prepared write of a configuration.

    It is safe to repeat: the expected version lets it take effect once, and the nonce identifies it
    in the stored history.
    """

    config: Config
    stored: Entry
    nonce: Nonce


class Releases:
    """Checks and applies release notes.

    :param collect_targets: returns the targets of all regions
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        holder: ConfigHolder,
        collect_targets: Callable[[], Awaitable[Fleet]],
    ) -> None:
        self._store = store
        self._clock = clock
        self._holder = holder
        self._collect_targets = collect_targets

    async def check(self, text: str, file: str) -> ReleaseReply:
        """Check a note against the current configuration without applying it."""
        config = self._holder.config
        prepared = await self._prepare(text, file, config)
        if isinstance(prepared, ReleaseReply):
            return prepared
        return ReleaseReply(
            result=ReleaseResult.ACCEPTED, generation=config.generation, keys=prepared.keys
        )

    async def apply(self, text: str, file: str) -> ReleaseReply:
        """Apply a note; the release is accepted once the new configuration is in the store."""
        try:
            stored = await self._store.get(CONFIG_KEY)
            config = decode(stored.value, Config) if stored.version else Config()
        except (StoreError, CodecError) as error:
            full_result = read_release(text, file, self._holder.config)
            if read_release(text, file).is_error():
                return self._refuse_findings(full_result.error, self._holder.config)
            return self._not_run(f"the configuration can't be read from the store: {error}")
        if config.generation < self._holder.config.generation:
            return self._not_run(
                f"the store holds generation {config.generation}, but generation "
                f"{self._holder.config.generation} is in force; restore the store's content"
            )
        if stored.version:
            self._holder.apply_if_newer(stored.value)
        prepared = await self._prepare(text, file, config)
        if isinstance(prepared, ReleaseReply):
            return prepared
        after = self._make_next_config(config, prepared)
        if len(encode(after)) > MAX_DOCUMENT_BYTES:
            return self._not_run("the configuration would exceed the size limit of the store")
        return await self._write(
            _PreparedWrite(config=after, stored=stored, nonce=after.nonce), prepared
        )

    async def _prepare(self, text: str, file: str, config: Config) -> ReleaseReply | ReleaseNote:
        """Return the note if it can be applied to ``config``, or the reply that refuses it."""
        shape_result = read_release(text, file)
        if shape_result.is_error():
            full_result = read_release(text, file, config)
            return self._refuse_findings(full_result.error, config)
        note = shape_result.ok
        accepted = _find(config, digest=digest_of(note))
        if accepted is not None:
            return _accepted(accepted, "this release was accepted before")
        if note.written_against != config.generation:
            return _conflict(note, config)
        result = read_release(text, file, config)
        if result.is_error():
            return self._refuse_findings(result.error, config)
        regions = touched_regions(note)
        if not regions:
            return note
        fleet = await self._collect_targets()
        unanswered = sorted(regions & set(fleet.unreachable))
        if unanswered:
            return self._not_run(
                f"no entry of {', '.join(unanswered)} answers, so its guarantees can't be checked"
            )
        problems: list[Problem] = list(check_fleet(note, note.apply_to(config), fleet.targets()))
        if problems:
            return self._refuse_findings(locate_problems(text, file, problems), config)
        return note

    def _make_next_config(self, config: Config, note: ReleaseNote) -> Config:
        nonce = Nonce(uuid.uuid4().hex)
        generation = Generation(config.generation + 1)
        summary = ChangeSummary(
            generation=generation,
            release=note.release,
            author=note.author,
            accepted_at=self._clock.now(),
            keys=note.keys,
            nonce=nonce,
            digest=digest_of(note),
        )
        return replace(
            note.apply_to(config),
            generation=generation,
            release=note.release,
            author=note.author,
            nonce=nonce,
            history=(*config.history, summary)[-HISTORY_LENGTH:],
        )

    async def _write(self, write: _PreparedWrite, note: ReleaseNote) -> ReleaseReply:
        """Repeat the write until it is certain whether the release was accepted, or a timeout.

        A write without a reply may take effect later. It is repeated with the same expected
        version and nonce, so it takes effect at most once. Once the stored version has changed
        and the history lacks the nonce, the write cannot take effect any more.
        """
        document = encode(write.config)
        deadline = self._clock.monotonic() + WRITE_RESOLUTION_TIMEOUT_S
        while True:
            try:
                await self._store.put(CONFIG_KEY, document, if_version=write.stored.version)
                return self._apply_written(document, write)
            except VersionConflictError:
                reply = await self._resolve_conflict(write, note)
                if reply is not None:
                    return reply
            except StoreError as error:
                logger.warning("event=release_write_unanswered error=%s", error)
            if self._clock.monotonic() >= deadline:
                return ReleaseReply(
                    result=ReleaseResult.UNKNOWN,
                    generation=self._holder.config.generation,
                    detail="the store has not confirmed whether the release was written; "
                    "apply the same release again to find out",
                )
            await self._clock.sleep(RESOLVE_INTERVAL)

    async def _resolve_conflict(
        self, write: _PreparedWrite, note: ReleaseNote
    ) -> ReleaseReply | None:
        """Return the reply according to the stored history, or ``None`` if it cannot be read."""
        try:
            stored = await self._store.get(CONFIG_KEY)
            config = decode(stored.value, Config) if stored.version else Config()
        except (StoreError, CodecError) as error:
            logger.warning("event=release_not_resolved error=%s", error)
            return None
        self._holder.apply_if_newer(stored.value)
        accepted = _find(config, nonce=write.nonce) or _find(config, digest=digest_of(note))
        if accepted is not None:
            return _accepted(accepted, "")
        return _conflict(note, config)

    def _apply_written(self, document: bytes, write: _PreparedWrite) -> ReleaseReply:
        self._holder.apply_if_newer(document)
        return _accepted(write.config.history[-1], "")

    def _refuse_findings(self, findings: list[Finding], config: Config) -> ReleaseReply:
        return ReleaseReply(
            result=ReleaseResult.FINDINGS,
            generation=config.generation,
            detail=f"the release has {len(findings)} findings",
            findings=tuple(findings),
        )

    def _not_run(self, detail: str) -> ReleaseReply:
        return ReleaseReply(
            result=ReleaseResult.NOT_RUN, generation=self._holder.config.generation, detail=detail
        )


def digest_of(note: ReleaseNote) -> str:
    """Return a digest of a note's content that ignores formatting and comments."""
    return hashlib.sha256(msgspec.json.encode(note, order="deterministic")).hexdigest()


def _find(config: Config, *, nonce: str = "", digest: str = "") -> ChangeSummary | None:
    for summary in config.history:
        if (nonce and summary.nonce == nonce) or (digest and summary.digest == digest):
            return summary
    return None


def _accepted(summary: ChangeSummary, detail: str) -> ReleaseReply:
    return ReleaseReply(
        result=ReleaseResult.ACCEPTED,
        generation=summary.generation,
        detail=detail,
        keys=summary.keys,
    )


def _conflict(note: ReleaseNote, config: Config) -> ReleaseReply:
    changes = tuple(s for s in config.history if s.generation > note.written_against)
    detail = (
        f"the release was written against generation {note.written_against}, "
        f"but generation {config.generation} is in force; "
        "compare it with the changes and write it against that generation"
    )
    return ReleaseReply(
        result=ReleaseResult.CONFLICT,
        generation=config.generation,
        detail=detail,
        changes=changes,
    )
