"""A box's local copy of the store's configuration and endpoints."""

from collections.abc import Callable
from collections.abc import Sequence

from martenjunction import errors
from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.access import admission
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_messages
from martenjunction.routing.store import config_documents
from martenjunction.routing.store import listing_turns
from martenjunction.routing.store import unreadable_entries


class StoreCache:
    """Applies updates of the store's state, from the store or from peers."""

    def __init__(
        self,
        admitter: admission.Admitter,
        listed: endpoint_list.EndpointList,
        freshness: config_freshness.ConfigFreshness,
        log: decision_log.DecisionLog,
        now: Callable[[], float],
    ) -> None:
        """Initializes an empty copy.

        Args:
            admitter: Puts configurations in force.
            listed: The endpoints.
            freshness: The age of the configuration.
            log: Records each change.
            now: Returns the time of the steady clock in seconds.
        """
        self._admitter = admitter
        self._listed = listed
        self._freshness = freshness
        self._log = log
        self._now = now
        self._config_spec = b""
        self._config_source = ""
        self._documents = config_documents.ConfigDocuments()
        self._entries: dict[str, tuple[revisions.Revision, bytes]] = {}
        self._on_removed: Callable[[list[str]], None] = lambda ids: None
        self._store_answers: bool | None = None
        self._unreadable = unreadable_entries.UnreadableEntries(log)
        self._store_restores = 0

    @property
    def unreadable(self) -> int:
        """Number of unreadable entries and configurations so far."""
        return self._unreadable.count

    @property
    def store_returns(self) -> int:
        """Number of restores of the store seen since this box started."""
        return self._store_restores

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        config = self._admitter.config
        return 0 if config is None else config.version

    @property
    def config_source(self) -> str:
        """Source of the configuration in force: a box or a kind of read."""
        return self._config_source

    @property
    def documents(self) -> config_documents.ConfigDocuments:
        """The documents of the last configurations in force."""
        return self._documents

    @property
    def entries(self) -> dict[str, tuple[revisions.Revision, bytes]]:
        """Revision and document of each listed endpoint's entry."""
        names = self._listed.entry_names
        return {i: row for i, row in self._entries.items() if i in names}

    @property
    def store_answers(self) -> bool:
        """Whether the store answered the last call."""
        return bool(self._store_answers)

    def on_endpoints_removed(
        self, callback: Callable[[list[str]], None]
    ) -> None:
        """Sets the callback for endpoints that are no longer available."""
        self._on_removed = callback

    def apply_config(self, spec: bytes, asked_at: float, source: str) -> None:
        """Applies a configuration that was the newest when it was requested.

        A configuration that cannot be decoded, or that is older than the one
        in force, does not count as a confirmation. A store restored from an
        older copy returns such an older version.

        Args:
            spec: Its document.
            asked_at: Time of the request on the steady clock.
            source: Source of the configuration, for the log.
        """
        try:
            version = self.apply_newer_config(spec, source)
        except errors.PlatformError as error:
            self._unreadable.add(documents.CONFIG_NAME, spec, error)
            return
        if version < self.version:
            self._log.write(
                "config-older",
                version=version,
                in_force=self.version,
                source=source,
            )
            return
        self._freshness.confirm(asked_at)

    def apply_view(self, view: peer_messages.View, source: str) -> None:
        """Applies the endpoints as known by another box.

        Args:
            view: What the box knows.
            source: The box, for the log.
        """
        revision = view.revision
        if revision < self._listed.revision:
            return
        if self._listed.is_new_era(revision):
            self._note_era(self._listed.revision, revision, source)
            self._listed.begin_era(revision, self._now())
        rows = view.rows()
        entries, removed = self._decode_all(rows)
        removed += self._listed.apply_peer_view(
            entries,
            set(view.ready),
            revision,
            self._now(),
            set(view.lapsed),
            set(view.leaving),
        )
        for name, entry_revision, spec in rows:
            self._entries[name] = (entry_revision, spec)
        self._forget_unlisted()
        self._log.write(
            "endpoints-told",
            era=revision.era,
            revision=revision.number,
            changed=len(entries),
            count=len(self._listed.entries),
            lapsed=len(view.lapsed),
            source=source,
        )
        self._report_removed(removed, revision, source)

    def _forget_unlisted(self) -> None:
        """Drops the documents of entries that are no longer listed.

        Those of lapsed entries are kept, for boxes that start meanwhile.
        """
        names = self._listed.entry_names
        for name in [i for i in self._entries if i not in names]:
            del self._entries[name]

    def apply_newer_config(self, spec: bytes, source: str) -> int:
        """Applies a configuration unless a newer one is in force.

        Args:
            spec: Its document.
            source: Source of the configuration, for the log.

        Returns:
            The version of the given configuration.

        Raises:
            PlatformError: If the document cannot be decoded.
        """
        if spec == self._config_spec:
            return self.version
        config = documents.decode_config(spec)
        if self._admitter.activate(config):
            self._config_spec = spec
            self._config_source = source
            self._documents.add(config.version, spec)
            behind_s = self._freshness.note_applied_version(
                config.version, self._now()
            )
            self._log.write(
                "config-in-force",
                version=config.version,
                routes=len(config.routes),
                keys=len(config.workspaces),
                source=source,
                behind_ms=round(behind_s * 1000),
            )
        return config.version

    async def apply_listing(
        self,
        objects: Sequence[listing_turns.Row],
        revision: revisions.Revision,
        source: str,
        unnamed: int = 0,
    ) -> None:
        """Applies a complete list of endpoints; it is decoded in turns.

        Nothing changes if the call is cancelled, or if a newer list or view is
        applied meanwhile.

        Args:
            objects: Id, revision and document of each entry.
            revision: The store's revision when the list was read.
            source: Source of the list, for the log.
            unnamed: The number of further entries without a readable name.
        """
        self._unreadable.note_unnamed(unnamed)
        if revision < self._listed.revision:
            return
        decoded = await listing_turns.decode(objects)
        applied = await listing_turns.apply(
            self._listed, decoded, revision, self._now
        )
        if applied is None:
            return
        self._note_era(applied.known, revision, source)
        self._unreadable.note_list(decoded.rows.keys(), decoded.unreadable)
        self._entries.update(decoded.rows)
        self._forget_unlisted()
        self._log.write(
            "endpoints-listed",
            era=revision.era,
            revision=revision.number,
            count=len(decoded.entries),
            lapsed=self._listed.lapsed,
            source=source,
        )
        self._report_removed(applied.removed, revision, source)
        listing_turns.release_later(decoded, applied)

    def apply_endpoint_change(self, change: store.Change) -> None:
        """Applies a change of one endpoint's entry."""
        name, revision = change.object.name, change.object.revision
        if change.deleted:
            # A deletion applies even if the entry is unreadable.
            removed = self._listed.apply_removal(name, revision, self._now())
            if name not in self._listed.entry_names:
                self._entries.pop(name, None)
            self._unreadable.remove(name)
            self._log_endpoint(name, "gone", revision)
        else:
            entries, removed = self._decode_all(
                [(name, revision, change.object.spec)]
            )
            for endpoint, _ in entries:
                removed += self._listed.apply_entry(endpoint, revision)
                self._entries[name] = (revision, change.object.spec)
                self._log_endpoint(endpoint.id, endpoint.state.value, revision)
        self._listed.advance(revision)
        self._report_removed(removed, revision, "store")

    def _note_era(
        self,
        known: revisions.Revision,
        revision: revisions.Revision,
        source: str,
    ) -> None:
        """Counts and logs a restore of the store since a known revision."""
        if known == revisions.NONE or revision.era <= known.era:
            return
        self._store_restores += 1
        self._log.write(
            "store-restored",
            era=revision.era,
            revision=revision.number,
            known_era=known.era,
            known_revision=known.number,
            source=source,
        )

    def _log_endpoint(
        self, endpoint: str, state: str, revision: revisions.Revision
    ) -> None:
        self._log.write(
            "endpoint-changed",
            endpoint=endpoint,
            state=state,
            era=revision.era,
            revision=revision.number,
        )

    def apply_report(self, report: peer_messages.EndpointsRemoved) -> bool:
        """Applies a peer's report that endpoints are no longer available.

        Returns:
            Whether any of it was new.
        """
        is_new = False
        for endpoint_id, cause in report.rows():
            if self._listed.apply_report(
                endpoint_id, cause, report.revision, self._now()
            ):
                self._log.write(
                    "endpoint-changed",
                    endpoint=endpoint_id,
                    state=self._listed.state(endpoint_id).value,
                    cause=cause.value,
                    era=report.revision.era,
                    revision=report.revision.number,
                    source="peer",
                )
                is_new = True
        return is_new

    def removal_report(self, ids: list[str]) -> peer_messages.EndpointsRemoved:
        """Returns the report to peers that endpoints are not available."""
        return peer_messages.EndpointsRemoved(
            tuple(ids),
            tuple(self._listed.removal_cause(i).value for i in ids),
            self._listed.revision,
        )

    def begin_report_check(self) -> bool:
        """Returns whether a box that reads has to list the endpoints again.

        Peers reported entries as missing, and the watch does not bear it out.
        """
        return self._listed.begin_report_check(self._now())

    @property
    def in_grace(self) -> bool:
        """Whether the store is back but entries may still be missing."""
        return self._listed.contact.in_grace

    def store_answered(self, asked_at: float) -> None:
        """Records that the store answered a call.

        Args:
            asked_at: Time of the call on the steady clock.
        """
        now = self._now()
        self._listed.contact.note_answered(asked_at, now)
        if not self._store_answers:
            self._store_answers = True
            self._log.write(
                "store-regained",
                away_ms=round(self._listed.contact.outage_s * 1000),
                in_grace=self._listed.contact.in_grace,
            )

    def store_failed(self, why: str) -> None:
        """Records that a call to the store failed.

        Args:
            why: The reason, for the log.
        """
        self._listed.contact.note_failed(self._now())
        if self._store_answers is not False:
            self._store_answers = False
            self._log.write("store-lost", why=why)

    def expire(self) -> None:
        """Drops entries that lapsed during an outage and did not return."""
        gone = self._listed.expire(self._now())
        if gone:
            self._log.write("endpoints-lapsed", endpoints=gone)
            self._on_removed(gone)

    def _report_removed(
        self, removed: list[str], revision: revisions.Revision, source: str
    ) -> None:
        if removed:
            self._log.write(
                "endpoints-left",
                endpoints=removed,
                era=revision.era,
                revision=revision.number,
                via=source,
            )
            self._on_removed(removed)

    def _decode_all(
        self, objects: list[tuple[str, revisions.Revision, bytes]]
    ) -> tuple[list[tuple[model.Endpoint, revisions.Revision]], list[str]]:
        """Decodes entries; unreadable ones are logged and skipped.

        Returns:
            The endpoints with their entries' revisions, and the ids of the
            endpoints whose entries became unreadable.
        """
        decoded = listing_turns.decode_at_once(objects)
        self._unreadable.update(decoded.rows.keys(), decoded.unreadable)
        removed: list[str] = []
        for (name, revision, _), _ in decoded.unreadable:
            removed += self._listed.apply_unparsable(name, revision)
            self._entries.pop(name, None)
        return decoded.entries, removed
