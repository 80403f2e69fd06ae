"""A toy deployment for one node: a worker pool, an ``acervo`` and an announce service on the addresses of
example/config.json. Start it, then ``make run``, then ``python example/toy.py ask`` to send a request by each
front. It ends on Ctrl-C."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.protocol import DatagramProtocol

from lemonway.kit.acervo import StandInAcervo
from lemonway.kit.clients import RouterClient, UwsgiClient
from lemonway.kit.pool import Plan, StandInPool
from lemonway.kit.tally import Tally

reactor: Any = _reactor
CONFIG = json.loads((Path(__file__).parent / "config.json").read_text())


def port(key: str) -> int:
    return int(CONFIG[key].rpartition(":")[2])


class Announcements(DatagramProtocol):
    """Shows each change of what is announced."""

    last = b""

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        if datagram != self.last:
            self.last = datagram
            print(datagram.decode(), flush=True)


def serve() -> None:
    pool = StandInPool(reactor, cores=6)
    for lane in CONFIG["settings"]["lanes"]:
        pool.plans[lane["name"]] = Plan(calls=1, seconds=0.2)
    reactor.listenTCP(port("pool"), pool, interface="127.0.0.1")
    reactor.listenTCP(port("catalog"), StandInAcervo(reactor), interface="127.0.0.1")
    reactor.listenUDP(port("announce"), Announcements(), interface="127.0.0.1")
    print("the toy pool, acervo and announce service are up", flush=True)
    reactor.run()


def ask() -> int:
    tally = Tally()
    router = RouterClient(reactor, port("listen"), tally)
    web = UwsgiClient(reactor, 3031, tally)
    tries = 0

    def send() -> None:
        nonlocal tries
        if router.side is None:
            tries += 1
            if tries < 20:
                reactor.callLater(0.05, send)
                return
            print("no node listens; start one with `make run`", file=sys.stderr)
            reactor.stop()
            return
        router.call("miniatura", b"obra 42")
        router.call("cadastro", b"nova obra", unique=f"{id(router):032x}")
        web.get("/visualizador/42?w=800")
        look()

    def look() -> None:
        if tally.waiting():
            reactor.callLater(0.05, look)
            return
        for tag, (word, fields, body) in sorted(router.answers.items()):
            print("resp ", tag, word, fields, body.decode("latin-1"))
        for number, (status, headers, body) in sorted(web.answers.items()):
            print("uwsgi", number, status, headers["content-type"], body.decode("latin-1"))
        reactor.stop()

    reactor.callWhenRunning(send)
    reactor.callLater(10, reactor.stop)
    reactor.run()
    return 0 if tally.asked and not tally.faults() else 1


if __name__ == "__main__":
    sys.exit(ask() if sys.argv[1:] == ["ask"] else serve())
