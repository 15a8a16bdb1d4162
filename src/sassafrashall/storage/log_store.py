"""The durable store of a replica: its id, vote, log and snapshot.

SQLite commits with `synchronous=FULL`, so data is on disk once a method has
returned. All methods block; call them in a worker thread.
"""

from __future__ import annotations

import dataclasses
import pathlib
import sqlite3
import uuid

import msgspec

from sassafrashall import exceptions
from sassafrashall.decisions import replication

FILE_NAME = "replica.sqlite"
FORMAT_VERSION = 1

LOCK_TIMEOUT = 1.0  # seconds to wait for a lock of another process

# A full or faulty disk; it may have room again later.
_WRITE_CODES = (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR)
_CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)
# SQLite's extended result codes hold the primary code in the low byte.
_PRIMARY_CODE_MASK = 0xFF

_SCHEMA = """
CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS entries (
  idx INTEGER PRIMARY KEY,
  body BLOB NOT NULL
);
"""


class StorageError(exceptions.SassafrashallError):
    """The data folder can't be used."""

    code = "storage_failed"


class WriteError(StorageError):
    """The disk refused a write; what was saved before is intact."""

    code = "storage_write_failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contents:
    """What the store held when it was opened.

    Attributes:
      replica_id: The id of this replica, created with the store.
      founded: Whether a snapshot, and with it a membership, was ever saved.
      term: The last saved Raft term.
      voted_for: The id of the replica voted for in `term`; empty if none.
      snapshot: The last saved snapshot.
      entries: The log entries after the snapshot, without gaps.
    """

    replica_id: str
    founded: bool
    term: int
    voted_for: str
    snapshot: replication.Snapshot
    entries: tuple[replication.Entry, ...]


class LogStore:
    """The store in one data folder.

    A damaged database file is set aside and replaced by an empty store with a
    new replica id. The new replica does not know how the old one voted, so it
    must never vote in its name.
    """

    def __init__(self, *, folder: str) -> None:
        self._folder = pathlib.Path(folder)
        self._connection: sqlite3.Connection | None = None

    def open(self) -> Contents:
        """Opens or creates the store and returns what it holds.

        Raises:
          WriteError: The disk refused a write.
          StorageError: The folder can't be used, or another process uses it.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StorageError(f"{self._folder}: {error}") from error
        try:
            return self._open()
        except sqlite3.DatabaseError as error:
            if _primary_code(error) not in _CORRUPTION_CODES:
                # Another process uses the folder, or the disk is full. The
                # file itself is intact, so it is not set aside.
                self.close()
                raise self._storage_error(error) from error
        except (msgspec.MsgspecError, ValueError):
            pass
        self._set_aside_damaged()
        return self._open()

    def _open(self) -> Contents:
        path = self._folder / FILE_NAME
        self._connection = sqlite3.connect(
            path,
            timeout=LOCK_TIMEOUT,
            isolation_level=None,
            check_same_thread=False,
        )
        database = self._connection
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        # Keeps out other processes, which would corrupt the log.
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.executescript(_SCHEMA)
        check_result = database.execute("PRAGMA quick_check").fetchone()
        if check_result != ("ok",):
            raise ValueError(str(check_result))
        if self._read_fact("replica_id") is None:
            with database:
                self._write_fact("replica_id", uuid.uuid4().hex[:12].encode())
                self._write_fact("format", str(FORMAT_VERSION).encode())
        return self._read_contents()

    def _read_contents(self) -> Contents:
        assert self._connection is not None
        vote = self._read_fact("vote")
        term, voted_for = (
            msgspec.msgpack.decode(vote, type=tuple[int, str])
            if vote
            else (0, "")
        )
        body = self._read_fact("snapshot")
        snapshot = (
            msgspec.msgpack.decode(body, type=replication.Snapshot)
            if body
            else replication.Snapshot()
        )
        rows = self._connection.execute(
            "SELECT body FROM entries WHERE idx > ? ORDER BY idx",
            (snapshot.index,),
        )
        entries = tuple(
            msgspec.msgpack.decode(row[0], type=replication.Entry)
            for row in rows
        )
        for expected_index, entry in enumerate(entries, snapshot.index + 1):
            if entry.index != expected_index:
                raise ValueError(f"entry {expected_index} is missing")
        replica_id = self._read_fact("replica_id")
        assert replica_id is not None
        return Contents(
            replica_id=replica_id.decode(),
            founded=body is not None,
            term=term,
            voted_for=voted_for,
            snapshot=snapshot,
            entries=entries,
        )

    def persist(self, actions: tuple[replication.Action, ...]) -> None:
        """Saves what the actions ask for in one synced transaction.

        Raises:
          WriteError: The disk refused a write; nothing was saved.
          StorageError: The transaction failed for another reason.
        """
        assert self._connection is not None
        try:
            with self._connection:
                self._connection.execute("BEGIN IMMEDIATE")
                for action in actions:
                    self._save_action(action)
        except sqlite3.Error as error:
            raise self._storage_error(error) from error

    def _storage_error(self, error: sqlite3.Error) -> StorageError:
        text = f"{self._folder}: {error}"
        if _primary_code(error) in _WRITE_CODES:
            return WriteError(text)
        return StorageError(text)

    def _save_action(self, action: replication.Action) -> None:
        assert self._connection is not None
        match action:
            case replication.SaveVote(term=term, voted_for=voted_for):
                self._write_fact(
                    "vote", msgspec.msgpack.encode((term, voted_for))
                )
            case replication.Append(entries=entries):
                self._connection.execute(
                    "DELETE FROM entries WHERE idx >= ?", (entries[0].index,)
                )
                self._connection.executemany(
                    "INSERT INTO entries VALUES (?, ?)",
                    [(e.index, msgspec.msgpack.encode(e)) for e in entries],
                )
            case replication.SaveSnapshot(snapshot=snapshot, reset=reset):
                self._write_fact("snapshot", msgspec.msgpack.encode(snapshot))
                self._connection.execute(
                    "DELETE FROM entries WHERE idx <= ? OR ?",
                    (snapshot.index, reset),
                )

    def close(self) -> None:
        """Closes the database; does nothing if it is not open."""
        if self._connection:
            self._connection.close()
            self._connection = None

    def _set_aside_damaged(self) -> None:
        """Renames the damaged database files."""
        self.close()
        suffix = uuid.uuid4().hex[:8]
        for path in self._folder.glob(f"{FILE_NAME}*"):
            if ".damaged-" not in path.name:
                path.rename(path.with_name(f"{path.name}.damaged-{suffix}"))

    def _read_fact(self, name: str) -> bytes | None:
        assert self._connection is not None
        row = self._connection.execute(
            "SELECT value FROM facts WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else None

    def _write_fact(self, name: str, value: bytes) -> None:
        assert self._connection is not None
        self._connection.execute(
            "INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value)
        )


def _primary_code(error: sqlite3.Error) -> int:
    return getattr(error, "sqlite_errorcode", 0) & _PRIMARY_CODE_MASK
