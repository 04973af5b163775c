"""
Finds the process that holds the other end of a connection on loopback.

All hosts reach targets from the same address, so that a proxy can't tell them apart
by it::

    find_owner(port, {"east-a-1": 4711})
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

TCP_TABLE = Path("/proc/net/tcp")
# Columns of the table: the local address, with the port in hexadecimal, and the inode.
LOCAL_COLUMN, INODE_COLUMN = 1, 9


def find_owner(port: int, processes: Mapping[str, int]) -> str:
    """Return the name of the process with a socket on ``port``; empty if none has."""
    inode = _find_inode(port)
    if not inode:
        return ""
    wanted = f"socket:[{inode}]"
    for name, pid in processes.items():
        if _has_open(pid, wanted):
            return name
    return ""


def _find_inode(port: int) -> str:
    ending = f":{port:04X}"
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_COLUMN].endswith(ending) and fields[INODE_COLUMN] != "0":
            return fields[INODE_COLUMN]
    return ""


def _has_open(pid: int, wanted: str) -> bool:
    try:
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            try:
                if str(entry.readlink()) == wanted:
                    return True
            except OSError:
                # Closed since the listing.
                continue
    except OSError:
        # The process has ended.
        return False
    return False
