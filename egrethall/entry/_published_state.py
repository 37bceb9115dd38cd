"""Applies the records of the store: configuration, upstreams and zones."""

from collections.abc import Callable

import structlog

from egrethall.placement import (
    OUTDATED_ENTRY_DELAY_SECONDS,
    REPUBLISH_GRACE_SECONDS,
    HostRoutes,
    UpstreamTable,
)
from egrethall.records import SourceStatus
from egrethall.types import (
    ConfigurationPublished,
    PublishedChange,
    PublishedConfiguration,
    PublishedService,
    Record,
    UnusableRecordError,
    UpstreamPublished,
    UpstreamWithdrawn,
    ZoneServiceChanged,
    describe_revision,
    split_revision,
)

#: Decodes a record; returns None if it has no effect on the instance. Raises
#: :class:`UnusableRecordError` if the record is invalid.
RecordDecoder = Callable[[Record], PublishedChange | None]

logger = structlog.get_logger(__name__)


class PublishedState:
    """The configuration and upstreams in force.

    A configuration whose version is not higher than the one in force is ignored.
    """

    def __init__(
        self,
        decode: RecordDecoder,
        upstream_table: UpstreamTable,
        source_status: SourceStatus,
        apply_configuration: Callable[[PublishedConfiguration], None],
    ) -> None:
        self._decode = decode
        self._upstream_table = upstream_table
        self._source_status = source_status
        self._apply_configuration = apply_configuration
        self._services: dict[str, PublishedService] = {}
        #: None until the first configuration is received.
        self.routes: HostRoutes | None = None

    def find_service(self, name: str) -> PublishedService | None:
        """Returns a service of the configuration in force, or None if there is none."""
        return self._services.get(name)

    def apply_records(self, records: tuple[Record, ...]) -> None:
        """Applies changed records.

        An invalid configuration leaves the previous one in force. An invalid upstream
        entry removes that upstream.
        """
        for record in records:
            era, _ = split_revision(record.revision)
            self._source_status.observe_era(era)
            try:
                change = self._decode(record)
            except UnusableRecordError as error:
                self._reject_record(record, error)
                continue
            if change is not None:
                self._apply_change(change, record.revision)

    def _apply_change(self, change: PublishedChange, revision: int) -> None:
        since_restore_seconds = self._source_status.measure_seconds_since_restore()
        match change:
            case ConfigurationPublished(configuration):
                self._set_configuration(configuration, revision)
            case ZoneServiceChanged(zone, out_of_service):
                # Operators' commands that the copy lacks are published again.
                self._upstream_table.set_zone_out_of_service(
                    zone,
                    out_of_service,
                    may_be_republished=since_restore_seconds < REPUBLISH_GRACE_SECONDS,
                )
            case UpstreamPublished(entry):
                self._upstream_table.set_entry(
                    entry,
                    may_be_outdated=since_restore_seconds
                    < OUTDATED_ENTRY_DELAY_SECONDS,
                )
            case UpstreamWithdrawn(name):
                since_outage_seconds = (
                    self._source_status.measure_seconds_since_outage()
                )
                self._upstream_table.remove_entry(
                    name,
                    may_be_republished=since_outage_seconds < REPUBLISH_GRACE_SECONDS,
                )

    def _set_configuration(
        self, configuration: PublishedConfiguration, revision: int
    ) -> None:
        current_version = (
            0 if self.routes is None else self.routes.configuration.version
        )
        if configuration.version <= current_version:
            logger.warning(
                "older configuration ignored",
                version=configuration.version,
                in_force=current_version,
                revision=describe_revision(revision),
            )
            return
        self.routes = HostRoutes(configuration)
        self._services = {service.name: service for service in configuration.services}
        self._apply_configuration(configuration)
        logger.info(
            "configuration in force",
            version=configuration.version,
            before=current_version,
            revision=describe_revision(revision),
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )

    def _reject_record(self, record: Record, error: UnusableRecordError) -> None:
        logger.warning(
            "published record not usable",
            key=record.key,
            revision=describe_revision(record.revision),
            reason=str(error),
        )
        if error.upstream:
            # An invalid entry has no usable address and may have replaced a valid one.
            self._upstream_table.remove_entry(error.upstream, may_be_republished=False)
