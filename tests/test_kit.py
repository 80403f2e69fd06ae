"""The kit itself: scripts, the importer, the example."""

from __future__ import annotations

import contextlib
import io
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

from lemonway.kit import cases, nginx
from lemonway.kit.__main__ import main
from lemonway.kit.stage import LIMITS, site_settings
from lemonway.kit.tally import Tally
from lemonway.net.program.config import read_config
from lemonway.net.program.uwsgi_site import load_site, read_site

ROOT = Path(__file__).parent.parent
CLASSES = ["miniatura", "visualizador", "busca", "cadastro"]
SETTINGS = read_config(
    {
        "name": "n",
        "listen": "127.0.0.1:0",
        "pool": "127.0.0.1:0",
        "stop_ms": 3000,
        "limits": LIMITS,
        "settings": site_settings(),
    },
    {},
).settings

CONF = """
events { worker_connections 64; }
http {
    include mime.extra;
    upstream imagens {
        server 127.0.0.1:3031 max_conns=64 weight=2;
        server 127.0.0.1:3032 down;
        server unix:/run/x.sock;
        keepalive 8;
    }
    uwsgi_read_timeout 10s;
    server {
        listen 80;
        server_name grande.museus.example memoria.museus.example *.example;
        client_max_body_size 2k;
        gzip on;
        location /miniatura/ { include uwsgi_params; uwsgi_pass imagens; uwsgi_read_timeout 1m30s; }
        location = /novo { uwsgi_pass uwsgi://imagens; uwsgi_send_timeout 3s; uwsgi_connect_timeout 1s; }
        location ^~ /busca { uwsgi_pass imagens; }
        location ~ \\.jpg$ { uwsgi_pass imagens; }
        location /outra { uwsgi_pass imagens; }
        location /estatico { proxy_pass http://127.0.0.1:8080; }
        location /longe { uwsgi_pass 127.0.0.1:9; }
    }
}
"""


class Importer(unittest.TestCase):
    def load(self, text: str, **options: Any) -> nginx.Imported:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "nginx.conf")
            path.write_text(text)
            for name in ("mime.extra", "uwsgi_params"):
                Path(folder, name).write_text("")
            found = nginx.import_file(
                str(path), CLASSES, {"/novo": "cadastro"}, {"grande.museus.example": "museu-grande"}
            )
            found.reports = [report.replace(str(path), "nginx.conf") for report in found.reports]
            return found

    def test_blocks_become_the_fronts_file(self) -> None:
        found = self.load(CONF)
        site = read_site(tomllib.loads(nginx.render(found)), SETTINGS)
        self.assertEqual(
            (site.host, site.port, site.max_connections, site.max_body_bytes), ("127.0.0.1", 3031, 64, 2048)
        )
        self.assertEqual((site.read_timeout_us, dict(site.tenants)), (3_000_000, {"grande.museus.example": 0}))
        self.assertEqual(
            [(at.path, at.exact, at.class_index, at.timeout_us) for at in site.locations],
            [("/miniatura/", False, 0, 90_000_000), ("/novo", True, 3, 10_000_000), ("/busca", False, 2, 10_000_000)],
        )

    def test_what_is_not_carried_over_is_reported_with_its_place(self) -> None:
        reports = "\n".join(self.load(CONF).reports)
        for line, what in [
            (6, "weight=2"),
            (8, "unix:/run/x.sock"),
            (9, "keepalive"),
            (14, "memoria.museus.example"),
            (14, r"\*.example"),
            (16, "gzip"),
            (18, "uwsgi_connect_timeout"),
            (20, "location"),
            (21, "/outra"),
            (22, "proxy_pass"),
            (23, "another upstream"),
        ]:
            with self.subTest(what):
                self.assertRegex(reports, rf"nginx.conf:{line}: .*{what}")
        self.assertEqual(reports.count("\n"), 10)

    def test_nothing_to_import_is_one_line_and_exit_2(self) -> None:
        for text in ("events { }\n", "http { server {\n", "http { server { location /busca { uwsgi_pass up; } } }\n"):
            with tempfile.NamedTemporaryFile("w", suffix=".conf") as file, self.subTest(text):
                file.write(text)
                file.flush()
                error = io.StringIO()
                with contextlib.redirect_stderr(error), contextlib.redirect_stdout(io.StringIO()):
                    self.assertEqual(nginx.main([file.name]), 2)
                self.assertIn("lemonway.kit.nginx: ", error.getvalue())


class Scripts(unittest.TestCase):
    def test_the_examples_cases_pass(self) -> None:
        shown = io.StringIO()
        with contextlib.redirect_stdout(shown):
            code = main([str(ROOT / "example" / "rehearsal.toml")])
        self.assertEqual(code, 0, shown.getvalue())

    def test_a_fault_is_shown(self) -> None:
        case = {"name": "x", "step": [{"send": "busca"}], "expect": {"resp": {"REJECT": 1}}}
        self.assertEqual(cases.Play(case).run().faults, ["resp: 0 answers REJECT, at least 1 expected"])

    def test_a_bad_script_names_its_key(self) -> None:
        step = {"send": "busca"}
        bad: list[tuple[dict[str, Any], str]] = [
            ({"name": 1}, "name"),
            ({"step": []}, "step"),
            ({"step": [step | {"count": 501}]}, "step.0.count"),
            ({"step": [step | {"count": 300}] * 2}, "step: 600 requests"),
            ({"step": [{"send": "x"}]}, "step.0.send"),
            ({"step": [step | {"front": "http"}]}, "step.0.front"),
            ({"step": [{"do": "explode"}]}, "step.0.do"),
            ({"step": [{"do": "hold"}]}, "step.0.class"),
            ({"step": [{"wait": 10**6}]}, "step.0.wait"),
            ({"step": [{"acervo": ["x"]}]}, "step.0.acervo"),
            ({"step": [{}]}, "step.0"),
            ({"calls": 9}, "calls"),
            ({"seconds": 5}, "seconds"),
            ({"speed": 1}, "speed"),
            ({"expect": {"resp": 1}}, "expect"),
        ]
        for change, named in bad:
            with self.subTest(named), self.assertRaisesRegex(cases.CaseError, rf"^at\.{named}"):
                cases.check({"name": "x", "step": [step]} | change, "at")

    def test_the_tally_sees_what_is_missing_double_or_unasked(self) -> None:
        tally = Tally()
        for number in (1, 2, 3):
            tally.ask("resp", number, "busca")
        for number in (1, 2, 2, 9):
            tally.answer("resp", number, "RESULT")
        self.assertEqual(
            [fault.split(":")[0] for fault in tally.faults()], ["resp 2 (busca)", "resp 3 (busca)", "resp 9"]
        )
        self.assertEqual(tally.waiting(), 1)

    def test_the_shipped_files_are_read(self) -> None:
        self.assertEqual(len(load_site(str(ROOT / "deploy" / "uwsgi.toml"), SETTINGS).locations), 4)


if __name__ == "__main__":
    unittest.main()
