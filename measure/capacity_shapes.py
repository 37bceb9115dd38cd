"""Configurations of any size, for the slopes of :mod:`measure.capacity`."""

import hashlib
import json
from collections.abc import Iterator
from typing import Any

from egrethall.types import AuditEvent, UpstreamFact

#: Upstreams of a service at the larger size: 1,300 in 98 services.
UPSTREAMS_PER_SERVICE = 13

#: Burst of each organisation; large enough for the highest number of buckets.
BURST = 200

KEYS_PER_ORGANISATION = 2


class NoAudit:
    """An audit trail that keeps nothing."""

    def record(self, event: AuditEvent) -> None:
        """Does nothing."""


class NoPublisher:
    """A publisher of upstream facts that tells nobody."""

    def publish_fact(self, fact: UpstreamFact) -> None:
        """Does nothing."""


def build_revision(
    revision: int, upstreams: int, organisations: int = 8, max_entry_instances: int = 18
) -> dict[str, Any]:
    """Returns a revision with ``upstreams`` in services of at most 13."""
    services = [
        _build_service(
            index, range(first, min(first + UPSTREAMS_PER_SERVICE, upstreams))
        )
        for index, first in enumerate(range(0, upstreams, UPSTREAMS_PER_SERVICE))
    ]
    return {
        "revision": revision,
        "fleet": {"max_entry_instances": max_entry_instances},
        "organisations": [
            {
                "name": f"organisation-{index}",
                "plan": "large",
                "keys": [
                    _build_key(index, key) for key in range(KEYS_PER_ORGANISATION)
                ],
            }
            for index in range(organisations)
        ],
        "plans": [
            {
                "name": "large",
                "rate_per_second": 400.0,
                "burst": BURST,
                "services": [service["name"] for service in services],
            }
        ],
        "services": services,
        "out_of_service": {"availability_zones": [], "instances": []},
    }


def build_text(
    revision: int, upstreams: int, organisations: int = 8, max_entry_instances: int = 18
) -> bytes:
    """Returns :func:`build_revision` as it is published."""
    return json.dumps(
        build_revision(revision, upstreams, organisations, max_entry_instances)
    ).encode()


def iterate_key_texts(organisations: int) -> Iterator[str]:
    """Yields the first key of each organisation as its callers present it."""
    for index in range(organisations):
        yield _make_key_text(index, 0)


def _build_service(index: int, upstreams: range) -> dict[str, Any]:
    return {
        "name": f"service-{index}",
        "deadline_ms": 2000,
        "max_body_bytes": 1048576,
        "max_queue": 200,
        "routes": [
            {
                "path_prefix": f"/service-{index}",
                "methods": ["GET", "POST"],
                "idempotent_methods": ["GET"],
                "open": False,
            }
        ],
        "upstreams": [
            {
                "name": f"service-{index}-{number}",
                "address": f"127.0.{number // 250}.{number % 250 + 1}:9001",
                "availability_zone": "abcdefg"[number % 7],
                "slots": 6,
                "max_connections": 200,
                "cold_rate_per_second": 5.0,
                "cold_burst": 1,
            }
            for number in upstreams
        ],
    }


def _make_key_text(organisation: int, key: int) -> str:
    key_id = organisation * KEYS_PER_ORGANISATION + key
    return f"egk_{key_id:08x}_{'s' * 43}"


def _build_key(organisation: int, key: int) -> dict[str, str]:
    text = _make_key_text(organisation, key)
    digest = hashlib.sha256(text.encode()).hexdigest()
    return {"key_id": text[4:12], "digest": f"sha256:{digest}"}
