"""Imports nginx ``upstream`` and ``location`` blocks into the uwsgi front's file.

    python -m lemonway.kit.nginx nginx.conf --class /imagens/=visualizador --tenant a.example=museu-grande

nginx says where a path goes but not what class of request it is, nor whose host it is: a location whose first
path segment is no class name needs ``--class``, a host needs ``--tenant``. What can't be carried over is reported
on standard error with file and line. Needs the optional extra ``nginx`` (crossplane)."""

from __future__ import annotations

import argparse
import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from ..net.protocol.uwsgi import MAX_BODY_SETTING_BYTES

# What holds other directives, or shapes what nginx sends without changing what the front does with it.
PASSED = {
    "events",
    "http",
    "server",
    "listen",
    "include",
    "uwsgi_param",
    "worker_processes",
    "worker_connections",
    "user",
    "pid",
    "error_log",
    "access_log",
    "types",
    "default_type",
    "sendfile",
    "keepalive_timeout",
}
UNITS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000, "": 1000}
TIMEOUTS = ("uwsgi_read_timeout", "uwsgi_send_timeout")


class ImportFault(Exception):
    """The file can't be read, or nothing in it can be imported."""


@dataclass
class Upstream:
    servers: list[str] = field(default_factory=list)
    max_conns: int = 0  # over its servers; 0 = no bound


@dataclass
class Found:
    """A location that goes to uwsgi."""

    path: str
    exact: bool
    target: str
    timeout_ms: int
    place: str


@dataclass(frozen=True)
class Scope:
    """What a block inherits from those around it."""

    read_ms: int = 0
    send_ms: int = 0


@dataclass
class Imported:
    listen: str = ""
    max_connections: int = 0
    read_timeout_ms: int = 0
    max_body: int = 0
    hosts: dict[str, str] = field(default_factory=dict)
    locations: list[tuple[Found, str]] = field(default_factory=list)
    reports: list[str] = field(default_factory=list)


def read_time(word: str) -> int | None:
    """nginx's times (``90``, ``1m30s``, ``500ms``) in milliseconds."""
    parts = re.findall(r"(\d+)(ms|[smhd]|)", word)
    if not word or "".join(n + unit for n, unit in parts) != word:
        return None
    return sum(int(n) * UNITS[unit] for n, unit in parts)


def read_size(word: str) -> int | None:
    match = re.fullmatch(r"(\d+)([kKmMgG]?)", word)
    return int(match[1]) * 1024 ** " kmg".index(match[2].lower() or " ") if match else None


class Importer:
    def __init__(self, classes: list[str], by_path: dict[str, str], by_host: dict[str, str]) -> None:
        self.classes, self.by_path, self.by_host = classes, by_path, by_host
        self.out = Imported()
        self.upstreams: dict[str, Upstream] = {}
        self.found: list[Found] = []

    def report(self, item: dict[str, Any], why: str) -> None:
        self.out.reports.append(f"{item.get('file', '')}:{item['line']}: {item['directive']}: {why}")

    def read(self, items: list[dict[str, Any]]) -> Imported:
        for item in self.walk(items):
            if item["directive"] == "upstream":
                self.upstream(item)
        self.block(items, Scope())
        self.settle()
        return self.out

    def walk(self, items: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
        for item in items:
            yield item
            yield from self.walk(item.get("block", []))

    def upstream(self, item: dict[str, Any]) -> None:
        up = self.upstreams[item["args"][0]] = Upstream()
        for each in item["block"]:
            if each["directive"] != "server":
                self.report(each, "not carried over")
                continue
            address, *options = each["args"]
            if "down" in options:
                continue
            if not re.fullmatch(r"[0-9.]+:\d+", address):
                self.report(each, f"{address} is not an IPv4 address and port")
                continue
            up.servers.append(address)
            for option in options:
                name, _, value = option.partition("=")
                if name == "max_conns" and value.isdigit():
                    up.max_conns = max(up.max_conns, int(value))
                else:
                    self.report(each, f"{option} is not carried over")

    def block(self, items: list[dict[str, Any]], scope: Scope) -> None:
        for item in items:  # a block's own timeouts hold for all of it, wherever in it they stand
            if item["directive"] in TIMEOUTS:
                if (ms := read_time(item["args"][0])) is None:
                    self.report(item, f"{item['args'][0]} is no time")
                else:
                    key = "read_ms" if item["directive"] == TIMEOUTS[0] else "send_ms"
                    scope = replace(scope, **{key: ms})
        for item in items:
            name = item["directive"]
            if name == "location":
                self.location(item, scope)
            elif name == "server_name":
                self.server_names(item)
            elif name == "client_max_body_size":
                self.max_body(item)
            elif name in ("upstream", "uwsgi_pass", *TIMEOUTS):
                continue
            elif name not in PASSED:
                self.report(item, "not supported")
                continue
            if name != "location" and "block" in item and name != "types":
                self.block(item["block"], scope)

    def max_body(self, item: dict[str, Any]) -> None:
        size = read_size(item["args"][0])
        if size is None or not 0 < size <= MAX_BODY_SETTING_BYTES:
            self.report(item, f"{item['args'][0]} is not within {MAX_BODY_SETTING_BYTES} bytes")
        else:
            self.out.max_body = max(self.out.max_body, size)

    def server_names(self, item: dict[str, Any]) -> None:
        for host in item["args"]:
            if host in ("_", ""):
                continue
            if host.startswith("~") or "*" in host:
                self.report(item, f"{host} is not one host")
            elif host not in self.by_host:
                self.report(item, f"{host} has no tenant: give --tenant {host}=NAME")
            else:
                self.out.hosts[host] = self.by_host[host]

    def location(self, item: dict[str, Any], scope: Scope) -> None:
        args, block = item["args"], item["block"]
        self.block(block, scope)
        passes = [each for each in block if each["directive"] == "uwsgi_pass"]
        if not passes:
            return
        if len(args) == 1 and args[0].startswith("/"):
            exact, path = False, args[0]
        elif len(args) == 2 and args[0] in ("=", "^~"):
            exact, path = args[0] == "=", args[1]
        else:
            self.report(item, f"{' '.join(args)}: only prefix and exact matches are supported")
            return
        for each in block:
            if each["directive"] in TIMEOUTS and (ms := read_time(each["args"][0])) is not None:
                key = "read_ms" if each["directive"] == TIMEOUTS[0] else "send_ms"
                scope = replace(scope, **{key: ms})
        self.out.read_timeout_ms = max(self.out.read_timeout_ms, scope.send_ms)
        target = passes[0]["args"][0].removeprefix("uwsgi://")
        self.found.append(Found(path, exact, target, scope.read_ms, f"{item.get('file', '')}:{item['line']}"))

    def settle(self) -> None:
        """Choose the address to listen at, and give each location its class."""
        for found in self.found:
            up = self.upstreams.get(found.target)
            if up is None and re.fullmatch(r"[0-9.]+:\d+", found.target):
                up = Upstream([found.target])
            if up is None or not up.servers:
                self.out.reports.append(f"{found.place}: uwsgi_pass: {found.target} has no address to listen at")
                continue
            if self.out.listen and self.out.listen not in up.servers:
                self.out.reports.append(
                    f"{found.place}: uwsgi_pass: {found.target} is another upstream; "
                    f"only {self.out.listen} is imported"
                )
                continue
            if not self.out.listen:
                self.out.listen, self.out.max_connections = up.servers[0], up.max_conns
                for other in up.servers[1:]:
                    self.out.reports.append(
                        f"{found.place}: uwsgi_pass: {other} is another node of {found.target}: give it a file too"
                    )
            first = found.path.strip("/").partition("/")[0]
            name = self.by_path.get(found.path) or (first if first in self.classes else "")
            if not name:
                self.out.reports.append(
                    f"{found.place}: location: {found.path} has no class: give --class {found.path}=NAME"
                )
                continue
            self.out.locations.append((found, name))


def quote(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def render(imported: Imported) -> str:
    """The text of the front's file."""
    if not imported.listen or not imported.locations:
        raise ImportFault("no location goes to uwsgi at an address that can be imported")
    lines = ["# Imported from nginx.", f"listen = {quote(imported.listen)}"]
    for key in ("max_connections", "read_timeout_ms", "max_body"):
        if value := getattr(imported, key):
            lines.append(f"{key} = {value}")
    lines += ["", "[hosts]"] + [f"{quote(host)} = {quote(name)}" for host, name in imported.hosts.items()]
    for found, name in imported.locations:
        lines += ["", "[[location]]", f"path = {quote(found.path)}"]
        lines += ['match = "exact"'] if found.exact else []
        lines += [f"class = {quote(name)}"]
        lines += [f"timeout_ms = {found.timeout_ms}"] if found.timeout_ms else []
    return "\n".join(lines) + "\n"


def import_file(
    path: str,
    classes: list[str],
    by_path: dict[str, str],
    by_host: dict[str, str],
) -> Imported:
    try:
        import crossplane
    except ImportError:
        raise ImportFault("crossplane is not installed: pip install 'lemonway[nginx]'") from None
    parsed = crossplane.parse(path, combine=True)
    if not parsed["config"] or not parsed["config"][0]["parsed"]:
        first = parsed["errors"][0] if parsed["errors"] else {"error": "empty"}
        raise ImportFault(f"{path}: {first['error']}")
    imported = Importer(classes, by_path, by_host).read(parsed["config"][0]["parsed"])
    for error in parsed["errors"]:
        imported.reports.append(f"{error['file']}:{error.get('line') or 0}: {error['error']}")
    return imported


def _pair(text: str) -> tuple[str, str]:
    left, eq, right = text.rpartition("=")
    if not eq or not left or not right:
        raise argparse.ArgumentTypeError(f"{text!r} is not WHAT=NAME")
    return left, right


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit.nginx", description=__doc__.split("\n")[0])
    parser.add_argument("file", help="the nginx configuration")
    parser.add_argument("--class", dest="by_path", type=_pair, action="append", default=[], metavar="PATH=CLASS")
    parser.add_argument("--tenant", type=_pair, action="append", default=[], metavar="HOST=TENANT")
    parser.add_argument("--classes", default="miniatura,visualizador,busca,cadastro", help="the deployment's classes")
    args = parser.parse_args(argv)
    try:
        imported = import_file(args.file, args.classes.split(","), dict(args.by_path), dict(args.tenant))
        print("\n".join(imported.reports), end="\n" if imported.reports else "", file=sys.stderr)
        print(render(imported), end="")
    except (ImportFault, OSError) as error:
        print(f"lemonway.kit.nginx: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
