"""Fake of the daemon's :class:`StateSource`."""

import math

from egrethall.operators import (
    BucketStatus,
    InstanceStatus,
    OrganisationExplanation,
    PeerStatus,
    QueueStatus,
    Readiness,
    UpstreamStatus,
)
from egrethall.types import UpstreamState


class FakeState:
    """A fixed state; with ``failing`` set, :meth:`read_status` raises."""

    def __init__(self):
        self.reasons = ()
        self.failing = False
        self.remark = ""

    def read_readiness(self):
        return Readiness(not self.reasons, tuple(self.reasons))

    def read_status(self):
        if self.failing:
            raise RuntimeError("state cannot be read")
        return InstanceStatus(
            name="entry-1",
            availability_zone="a",
            incarnation=5,
            readiness=self.read_readiness(),
            stopping=False,
            revision=7,
            confirmed_age_seconds=math.inf,
            uptime_seconds=12.5,
            in_flight=3,
            held_shards=(4, 9),
            has_majority=True,
            peers=(PeerStatus("entry-2", "b", True, False, 7, 0.25),),
            upstreams=(
                UpstreamStatus(
                    name="lookup-1",
                    service="lookup",
                    availability_zone="a",
                    state=UpstreamState.WARMING,
                    in_flight=2,
                    reported_in_flight=4,
                    reading_age_seconds=0.1,
                    latency_ms=12.0,
                    ejected=False,
                    out_of_service=False,
                ),
            ),
            queues=(QueueStatus("lookup", 1, 200),),
        )

    def explain_organisation(self, organisation):
        if organisation != "atlas":
            return None
        return OrganisationExplanation(
            organisation="atlas",
            plan="large",
            rate_per_second=200.0,
            burst=100,
            services=("lookup",),
            key_ids=("1f2e3d4c",),
            admitted=40,
            refused={"rate-exceeded": 2},
            wallet_tokens=3.0,
            buckets=(BucketStatus("organisation/atlas/0", 4, "entry-1", 12.0, 3.0),),
            remarks=(self.remark,),
        )
