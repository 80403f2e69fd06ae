"""Where results are kept: one SQLite file, a row a run. A run that is in it is never played again.

Weighed: DuckDB reads columns faster, which a few thousand rows do not need, and lets one process write; SQLite is in
the standard library, and in write-ahead mode a file that was cut off in the middle of a write opens with every row
that was finished."""

from __future__ import annotations

import json
import platform
import sqlite3
import zlib
from collections.abc import Iterable
from typing import Any

from .plan import Run, code_digest

VERSION = 1
TABLE = """create table if not exists runs (
    digest text primary key, scenario text, arm text, seed integer, code text, versions text, broken integer,
    service real, figures blob) without rowid"""


class StoreError(Exception):
    """A file that is no store of ours, or can't be written; one line."""


class Store:
    def __init__(self, path: str) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path)
            self._db.execute("pragma journal_mode = wal")
            self._db.execute("pragma synchronous = full")
            version = self._db.execute("pragma user_version").fetchone()[0]
            if version == 0:
                with self._db:
                    self._db.execute(TABLE)
                    self._db.execute(f"pragma user_version = {VERSION}")
            elif version != VERSION:
                raise StoreError(f"{path}: a store of version {version}, this program reads {VERSION}")
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        self._db.close()

    def missing(self, runs: Iterable[Run]) -> list[Run]:
        have = {row[0] for row in self._db.execute("select digest from runs")}
        return [run for run in runs if run.digest not in have]

    def add(self, run: Run, figures: dict[str, Any]) -> None:
        blob = zlib.compress(json.dumps(figures, sort_keys=True).encode())
        versions = f"python {platform.python_version()}, figures {figures['version']}"
        try:
            with self._db:
                self._db.execute(
                    "insert or ignore into runs values (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                    (
                        run.digest,
                        run.scenario,
                        run.arm,
                        run.seed,
                        code_digest(run.code, run.fidelity),
                        versions,
                        sum(figures["rules"].values()),
                        figures["service"]["figure"],
                        blob,
                    ),
                )
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def services(self, scenario: str, arm: str) -> dict[int, float]:
        """Service by seed of an arm, whatever code made it; of several, that of the code that was kept last by name."""
        rows = self._db.execute(
            "select seed, service from runs where scenario = ? and arm = ? and service is not null order by code",
            (scenario, arm),
        )
        return dict(rows.fetchall())

    def figures(self, runs: Iterable[Run]) -> dict[str, dict[str, Any]]:
        """By digest; those that are not kept are left out."""
        out = {}
        for run in runs:
            row = self._db.execute("select figures from runs where digest = ?", (run.digest,)).fetchone()
            if row is not None:
                out[run.digest] = json.loads(zlib.decompress(row[0]))
        return out
