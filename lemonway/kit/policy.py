"""The operators' side of a change of policy: asks a node's admin address, and waits for what becomes of a proposal."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from typing import Any

ASK = 0.05  # seconds between looks at a proposal that is under way
UNKNOWN = "unknown"  # the state of a proposal of which no node can tell whether it is committed
OVER = ("committed", "aborted", "lost", "refused", UNKNOWN)


class CallError(Exception):
    """The node could not be asked, or turned the call down; the message says which node and why."""


def call(
    node: str,
    path: str,
    body: bytes | None = None,
    timeout: float = 5.0,
    missing: str = "its policy is its own: start it with --policy",
) -> dict[str, Any]:
    """What the node at HOST:PORT (its admin address) says; ``missing`` says why it may not know the call. Raises
    ``CallError``."""
    request = urllib.request.Request(f"http://{node}{path}", data=body, method="GET" if body is None else "POST")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            found: dict[str, Any] = json.load(reply)
            return found
    except urllib.error.HTTPError as error:
        text = error.read().decode("utf-8", "replace")
        if error.code == 404:
            raise CallError(f"{node}: {missing}") from None
        try:
            said = str(json.loads(text)["error"])
        except (ValueError, KeyError, TypeError):
            said = text.strip() or str(error)
        raise CallError(f"{node}: {said}") from None
    except (OSError, ValueError) as error:
        reason = getattr(error, "reason", error)
        raise CallError(f"{node}: {reason}") from None


def propose(node: str, body: bytes, wait: float) -> dict[str, Any]:
    """Propose a change and wait for its outcome, ``wait`` seconds at most: ``proposal``, ``state``, ``epoch``,
    ``reason``. A ``state`` of ``checking`` or ``deciding`` means that it was not over by then. Raises ``CallError``."""
    made = call(node, "/policy/propose", body)
    end = time.monotonic() + wait
    while made["state"] not in OVER and time.monotonic() < end:
        time.sleep(ASK)
        found = call(node, "/policy")["proposals"].get(made["proposal"])
        if found is None:
            raise CallError(
                f"{node}: was started anew and has forgotten {made['proposal']}; 'lemonway policy status' "
                "tells whether it was decided"
            )
        made |= found
    return made
