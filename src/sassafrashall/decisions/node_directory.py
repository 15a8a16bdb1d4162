"""The directory of nodes and their upstreams.

Every node owns its record and raises the record's counter with each change.
Records are merged by version, in any order, and expire without heartbeats.
"""

from __future__ import annotations

import dataclasses

import immutables

from sassafrashall import model

RECORD_TTL = 3.0  # seconds without a heartbeat until an entry lapses
TOMBSTONE_TTL = 30.0  # seconds without a heartbeat until an entry is removed


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One node in the directory.

    Attributes:
      heard_at: Time of the node's latest heartbeat, in monotonic seconds of
        this process.
      changed: Directory version at which the entry last changed.
      lapsed: Whether the node counts as gone. The entry is then a tombstone.
    """

    record: model.NodeRecord
    heard_at: float
    changed: int
    lapsed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Directory:
    """All entries by VM.

    Attributes:
      version: Raised whenever a record changes, lapses or returns.
      entries: `Entry` by VM.
    """

    version: int = 0
    entries: immutables.Map = immutables.Map()


def merge_record(
    directory: Directory, record: model.NodeRecord, age: float, now: float
) -> Directory:
    """Merges a record that came from its node or by way of another process.

    An older version of a record is ignored.

    Args:
      directory: The directory before.
      record: The record as its node made it.
      age: Seconds since the node's latest heartbeat.
      now: Monotonic seconds.
    """
    existing = directory.entries.get(record.vm)
    heard_at = now - age
    if existing is None:
        if age >= RECORD_TTL:
            return directory
        return _put_record(directory, record, heard_at)
    known_version = (existing.record.incarnation, existing.record.counter)
    new_version = (record.incarnation, record.counter)
    if new_version < known_version:
        return directory
    heard_at = max(heard_at, existing.heard_at)
    revived = existing.lapsed and now - heard_at < RECORD_TTL
    if new_version > known_version or revived:
        if record.signed_off is None:
            # A node that restarts knows of no sign-off before.
            record = dataclasses.replace(
                record, signed_off=existing.record.signed_off
            )
        return _put_record(directory, record, heard_at)
    entry = dataclasses.replace(existing, heard_at=heard_at)
    return dataclasses.replace(
        directory, entries=directory.entries.set(record.vm, entry)
    )


def _put_record(
    directory: Directory, record: model.NodeRecord, heard_at: float
) -> Directory:
    version = directory.version + 1
    entry = Entry(record=record, heard_at=heard_at, changed=version)
    return Directory(
        version=version, entries=directory.entries.set(record.vm, entry)
    )


def expire_entries(directory: Directory, now: float) -> Directory:
    """Marks entries without recent heartbeats and removes old tombstones."""
    for vm, entry in list(directory.entries.items()):
        silence = now - entry.heard_at
        if entry.lapsed and silence >= TOMBSTONE_TTL:
            directory = dataclasses.replace(
                directory, entries=directory.entries.delete(vm)
            )
        elif not entry.lapsed and silence >= RECORD_TTL:
            version = directory.version + 1
            lapsed_entry = dataclasses.replace(
                entry, changed=version, lapsed=True
            )
            directory = Directory(
                version=version, entries=directory.entries.set(vm, lapsed_entry)
            )
    return directory


def changed_since(directory: Directory, version: int) -> tuple[Entry, ...]:
    """Returns the entries that changed after `version`."""
    return tuple(
        entry for entry in directory.entries.values() if entry.changed > version
    )


def live_records(directory: Directory) -> tuple[model.NodeRecord, ...]:
    """Returns the records of the nodes that count as alive."""
    return tuple(
        entry.record for entry in directory.entries.values() if not entry.lapsed
    )
