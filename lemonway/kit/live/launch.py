"""Executes a program with resource limits that need no privileges and makes it die with its parent.

Usage: ``python launch.py JSON PROGRAM ARGUMENT...``. Uses Linux's parent-death signal, which stays in force across
``exec``, limits on file descriptors and memory, and CPU affinity. Imports nothing of the project, since each node is
started through it."""

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
            os._exit(1)  # the parent died before the signal was requested
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
