"""Types of the identifiers that the processes exchange."""

import uuid
from typing import NewType

VmId = NewType("VmId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
ServiceId = NewType("ServiceId", str)
PoolId = NewType("PoolId", str)
SiteId = NewType("SiteId", str)
ServerId = NewType("ServerId", str)
ClassId = NewType("ClassId", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
GrantId = NewType("GrantId", str)
ChangeId = NewType("ChangeId", str)
ViewId = NewType("ViewId", str)
RouteId = NewType("RouteId", str)
Version = NewType("Version", int)
Revision = NewType("Revision", int)
Era = NewType("Era", int)
RequestDigest = NewType("RequestDigest", bytes)


def new_id() -> str:
    """Return a random identifier that is unique across processes and restarts."""
    return uuid.uuid4().hex
