"""Identifier types shared by all layers."""

from typing import NewType

HostId = NewType("HostId", str)
DataCentre = NewType("DataCentre", str)
ServiceId = NewType("ServiceId", str)
ServerId = NewType("ServerId", str)
RouteId = NewType("RouteId", str)
WorkspaceId = NewType("WorkspaceId", str)
KeyId = NewType("KeyId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)

NO_HOST = HostId("")
NO_REVISION = Revision(0)
ANONYMOUS_WORKSPACE = WorkspaceId("")
"""Workspace id of requests on open routes, which need no key."""
