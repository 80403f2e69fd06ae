"""``lemonway demo``: a node beside its stand-ins answers on both fronts, on loopback; then a short rehearsal."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from .emulator import report, scenario
from .emulator.day import play
from .stage import Stage, site_file

PATHS = {"miniatura": "/miniatura/7", "visualizador": "/visualizador/obra/3", "busca": "/busca?q=azulejo"}


def show_node(console: Console) -> bool:
    """Ask a node by RESP and by uwsgi. Gives whether every request was served."""
    stage = Stage(uwsgi=site_file(), calls=1)
    try:
        router, web = stage.router(), stage.web()
        stage.pool.plans["cadastro"].calls = 0
        asked = [("RESP", name, router.call(name, b"obra 3", team="museu-grande")) for name in PATHS]
        asked.append(("RESP", "cadastro", router.call("cadastro", b"nova obra", unique="5c0f6e1a" * 4)))
        asked += [("uwsgi", name, web.get(path)) for name, path in PATHS.items()]
        asked.append(("uwsgi", "cadastro", web.get("/cadastro", b"nova obra", HTTP_IDEMPOTENCY_KEY="a" * 32)))
        stage.settle()
        table = Table("front", "class", "answer", "result", title="One node, both fronts, a stand-in pool and acervo")
        good = True
        for front, name, number in asked:
            if front == "RESP":
                word, _, body = router.answers[number]
                good = good and word == "RESULT"
            else:
                status, _, body = web.answers[number]
                word, good = str(status), good and status == 200
            table.add_row(front, name, word, body.decode("latin-1"))
        console.print(table)
        return good
    finally:
        stage.close()


def run() -> int:
    console = Console(highlight=False, soft_wrap=True)
    good = show_node(console)
    result = play(scenario.load("demo"), 1)
    report.render(report.figures(result), console)
    return 0 if good and not result.audit.breaches else 1
