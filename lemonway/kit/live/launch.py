"""Starts a program so that it can't outlive whoever started it, under the limits that a plain user can set: it dies
with its parent (Linux's parent-death signal, which goes with the program that is then executed), and has its own bound
on descriptors and memory and its cores. ``python launch.py JSON PROGRAM ARGUMENT...``; imports nothing of the project,
since each node is started through it."""

from __future__ import annotations

import ctypes
import json
import os
import resource
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    limits = json.loads(sys.argv[1])
    libc = ctypes.CDLL(None)
    if hasattr(libc, "prctl"):
        libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != limits["parent"]:
            os._exit(1)  # it died before the signal was asked for
    if limits.get("files"):
        resource.setrlimit(resource.RLIMIT_NOFILE, (limits["files"], limits["files"]))
    if limits.get("memory_mb"):
        size = int(limits["memory_mb"]) << 20
        resource.setrlimit(resource.RLIMIT_DATA, (size, size))
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
    if limits.get("cpus") and hasattr(os, "sched_setaffinity"):
        os.sched_setaffinity(0, limits["cpus"])
    os.execvp(sys.argv[2], sys.argv[2:])


if __name__ == "__main__":
    main()
