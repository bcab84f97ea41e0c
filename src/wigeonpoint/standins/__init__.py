"""In-memory stand-ins for the platform and for database members, for the demo and tests."""

from __future__ import annotations

from wigeonpoint.standins._database import (
    AppendEntries,
    AppendReply,
    DatabaseMemberStandIn,
    MemberOptions,
    ReplicationLink,
)
from wigeonpoint.standins._database_server import database_application
from wigeonpoint.standins._platform import PlatformFaults, PlatformStandIn
from wigeonpoint.standins._tables import MemoryDirectory, MemoryObjects, MemoryTables

__all__ = [
    "AppendEntries",
    "AppendReply",
    "ReplicationLink",
    "DatabaseMemberStandIn",
    "MemberOptions",
    "MemoryDirectory",
    "MemoryObjects",
    "MemoryTables",
    "PlatformFaults",
    "PlatformStandIn",
    "database_application",
]
