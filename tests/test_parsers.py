"""Table-driven tests of every parser, without sockets."""

from __future__ import annotations

import contextlib
import random
import unittest
from collections.abc import Callable
from typing import Any

from lemonway.interface import Outcome
from lemonway.kit.nginx import read_size, read_time
from lemonway.kit.stage import LIMITS, site_file, site_settings
from lemonway.net.ports import Answer, Verdict
from lemonway.net.program.config import ConfigError, read_config
from lemonway.net.program.uwsgi_site import read_site
from lemonway.net.protocol import backend, pool, resp, uwsgi
from lemonway.net.protocol.announce import encode_report
from lemonway.net.transport.clock import Clock
from lemonway.net.transport.ring import RingBuffer

CONFIG = {
    "name": "n3",
    "listen": "127.0.0.1:1",
    "pool": "127.0.0.1:2",
    "seed": "8c",
    "stop_ms": 3000,
    "limits": LIMITS,
    "settings": site_settings(),
}


class RingBuffers(unittest.TestCase):
    def test_bytes_keep_their_order_across_the_wraparound(self) -> None:
        ring, sent, got = RingBuffer(16, 4), b"", b""
        for n in range(200):
            chunk = bytes((n + i) % 256 for i in range(n % 7))
            if ring.write(chunk):
                sent += chunk
            got += ring.read(n % 5)
        self.assertEqual(sent, got + ring.read(99))
        self.assertGreater(len(sent), 300)

    def test_a_full_ring_rejects_writes(self) -> None:
        ring = RingBuffer(8)
        self.assertTrue(ring.write(b"12345678"))
        self.assertFalse(ring.write(b"9"))
        self.assertEqual((len(ring), ring.room, ring.peek(99)), (8, 0, b"12345678"))

    def test_find_matches_at_every_offset(self) -> None:
        for shift in range(8):
            ring = RingBuffer(8, 8)
            ring.write(b"." * shift)
            ring.skip(shift - 1) if shift else None
            ring.write(b"ab\r\nc")
            lead = 1 if shift else 0
            self.assertEqual(ring.find(b"\r\n", 8), 2 + lead)
            self.assertEqual(ring.find(b"\r\n", 3 + lead), -1, "the match must lie within the limit")
            self.assertEqual(ring.find(b"zz", 8), -1)


def read_stream(data: bytes) -> list[Any]:
    """The frames that RespReader finds in ``data``, each with ``overlong``, then "ERROR" if it raises RespError."""
    reader, out = resp.RespReader(), list[Any]()
    try:
        while data:
            if reader.block_bytes:
                size, reader.block_bytes = reader.block_bytes, 0
                frame, data = reader.feed_block(data[:size]), data[size:]
            else:
                line, _, data = data.partition(b"\r\n")
                frame = reader.feed_line(line)
                data, reader.skip_bytes = data[reader.skip_bytes :], 0
            if frame:
                out.append((frame, reader.overlong))
    except resp.RespError:
        out.append("ERROR")
    return out


class Resp(unittest.TestCase):
    def test_frames(self) -> None:
        long = b"x" * 1025
        for data, expected in [
            (b"*1\r\n$2\r\nhi\r\n", [([b"hi"], False)]),
            (b"*2\r\n$0\r\n\r\n$4\r\na\r\nb\r\n", [([b"", b"a\r\nb"], False)]),
            (b"*1\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n", [([b"a"], False), ([b"b"], False)]),
            (b"*2\r\n$1025\r\n" + long + b"\r\n$1\r\nz\r\n", [([b"", b"z"], True)]),
            (b"*0\r\n", ["ERROR"]),
            (b"*9\r\n", ["ERROR"]),
            (b"*-1\r\n", ["ERROR"]),
            (b"PING\r\n", ["ERROR"]),
            (b"*1\r\n:5\r\n", ["ERROR"]),
            (b"*1\r\n$-1\r\n", ["ERROR"]),
            (b"*1\r\n$+1\r\n", ["ERROR"]),
            (b"*1\r\n$65537\r\n", ["ERROR"]),
            (b"*1\r\n$2\r\nabcd", ["ERROR"]),
            (b"*x\r\n", ["ERROR"]),
        ]:
            with self.subTest(data[:30]):
                self.assertEqual(read_stream(data), expected)

    def test_fields(self) -> None:
        clock, settings = Clock(), read_config(CONFIG, {}).settings
        names, connection = resp.NameLookup.from_settings(settings), None
        good = b"txn=9b1f03aa5c7e2d41,door=1764576000123,lb=4,team=casa-memoria,cpu=12.50,ram=24.5,standing=0.6250"
        key = b",unique=5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

        def read(handler: bytes, fields: bytes) -> Any:
            return resp.read_call([b"CALL", b"7", handler, fields, b"BODY"], names, clock, connection)  # type: ignore

        got = read(b"cadastro", good + key)
        self.assertEqual((got.tag, got.txn, got.class_index, got.tenant), (7, "9b1f03aa5c7e2d41", 3, 1))
        self.assertEqual((got.caller, got.work_ms, got.memory_kb, got.rank), (4, 12.5, 24.5, 0.625))
        self.assertEqual((got.idempotency_key, got.body), (key[8:].decode(), b"BODY"))
        self.assertLess(abs(clock.to_unix_ms(got.arrived_at_us) - 1764576000123), 2)
        self.assertEqual((got.timeout_us, got.retry), (0, False))
        for extra_fields, timeout_us, retry in [
            (b",limit=480", 480_000, False),
            (b",limit=0.5,second=1", 500, True),
            (b",limit=0", 1, False),
            (b",second=0", 0, False),
            (b",second=1", 0, True),
        ]:
            with self.subTest(extra_fields):
                got = read(b"busca", good + extra_fields)
                self.assertEqual((got.timeout_us, got.retry), (timeout_us, retry))
        for handler, fields in [
            (b"busca", good + b",limit=-1"),
            (b"busca", good + b",limit=soon"),
            (b"busca", good + b",limit=1e9"),
            (b"busca", good + b",second=2"),
            (b"busca", good + b",second="),
            (b"nothing", good),
            (b"cadastro", good),
            (b"cadastro", good + b",unique=xyz"),
            (b"busca", b"door=1764576000123"),
            (b"busca", b"txn=9B1F03AA5C7E2D41,door=1"),
            (b"busca", good.replace(b"1764576000123", b"1e9")),
            (b"busca", good.replace(b"lb=4", b"lb=-4")),
            (b"busca", good.replace(b"casa-memoria", b"louvre")),
            (b"busca", good.replace(b"12.50", b"nan")),
            (b"busca", good.replace(b"0.6250", b"1.0000")),
            (b"busca", good + b",txn=9b1f03aa5c7e2d41"),
            (b"busca", good + b",item=zz"),
            (b"busca", good + b",oops"),
            (b"busca", b""),
        ]:
            with self.subTest(fields), self.assertRaises(resp.FieldError):
                read(handler, fields)

    def test_answers(self) -> None:
        for answer, items in [
            (Answer(Verdict.SERVED, 0.1, body=b"r"), (b"7", b"RESULT", b"feedback=0.1000", b"r")),
            (Answer(Verdict.SERVED), (b"7", b"RESULT", b"")),
            (Answer(Verdict.REFUSED, None, 40, True), (b"7", b"REJECT", b"later=40,giveup=1")),
            (Answer(Verdict.FAILED, 0.0, 40), (b"7", b"ABORTED", b"feedback=0.0000")),
        ]:
            self.assertEqual(resp.encode_answer(7, answer), resp.encode(*items))


class LineProtocols(unittest.TestCase):
    def test_notices(self) -> None:
        for line, kind, sequence, name, block_size in [
            (b"finished 4 9b1f good 12.5 96", b"finished", 4, "9b1f", 96),
            (b"finished 5 9b1f gone 0 0", b"finished", 5, "9b1f", 0),
            (b"blocked 6 9b1f 12", b"blocked", 6, "9b1f", 12),
            (b"polled t 0.5 3 0.1 8", b"polled", 0, "t", -1),
            (b"bound old 120.5", b"bound", 0, "", -1),
            (b"verified c1 bad", b"verified", 0, "c1", -1),
            (b"unknown spawn 9b1f", b"unknown", 0, "spawn", -1),
            (b"chatter 7 so it goes", b"chatter", 7, "", -1),
        ]:
            with self.subTest(line):
                got = pool.parse_notice(line)
                self.assertEqual((got.kind, got.sequence, got.name, got.block_size), (kind, sequence, name, block_size))
        for line in [
            b"",
            b"finished 4 9b1f fine 1 1",
            b"finished x 9b1f good 1 1",
            b"finished 4 9b1f good 1 -1",
            b"finished 4 9b1f good nan 1",
            b"blocked 6 9b1f",
            b"bound odd 1",
            b"polled t x",
            b"bind 0",
            b"blocked 6 \xff 1",
        ]:
            with self.subTest(line), self.assertRaises(pool.PoolError):
                pool.parse_notice(line)

    def test_replies(self) -> None:
        one, none = b"Content-Length: 1", b"Content-Length: 0"
        for lines, outcome, keep in [
            ([b"HTTP/1.1 200 OK", one, b""], Outcome.OK, True),
            ([b"HTTP/1.0 200 OK", one, b""], Outcome.OK, False),
            ([b"HTTP/1.1 503 No", none, b"x-declined:1", b""], Outcome.TURNED_AWAY, True),
            ([b"HTTP/1.1 503 No", none, b""], Outcome.ERROR, True),
            ([b"HTTP/1.1 500 No", none, b"Connection: close", b""], Outcome.ERROR, False),
            ([b"HTTP/1.1 504 Late", none, b""], Outcome.TIMED_OUT, True),
            ([b"HTTP/1.1 409", none, b"X-Declined: 1", b""], Outcome.TURNED_AWAY, True),
            ([b"HTTP/1.1 100 Continue", b"", b"HTTP/1.1 200 OK", one, b""], Outcome.OK, True),
        ]:
            with self.subTest(lines):
                reader = backend.ReplyReader()
                self.assertEqual([reader.feed_line(line) for line in lines][-1], True)
                self.assertEqual(backend.outcome_of(reader.status, reader.declined), outcome)
                self.assertEqual(reader.keep_alive, keep)
        for lines in [
            [b"HTTP/2 200"],
            [b"HTTP/1.1 200 OK", b""],
            [b"HTTP/1.1 200 OK", b"junk"],
            [b"HTTP/1.1 200 OK", b"Content-Length: 99999999"],
            [b"HTTP/1.1 200 OK", one, none],
            [b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked"],
        ]:
            with self.subTest(lines), self.assertRaises(backend.ReplyError):
                reader = backend.ReplyReader()
                for line in lines:
                    reader.feed_line(line)

    def test_announce_reports(self) -> None:
        self.assertEqual(encode_report("n3", True), b"announce n3 true")
        self.assertEqual(encode_report("n3", False), b"announce n3 false")


class Uwsgi(unittest.TestCase):
    def test_packets(self) -> None:
        self.assertEqual(uwsgi.parse_header(b"\x00\x34\x12\x05"), (0, 0x1234, 5))
        for block, expected in [
            (b"", {}),
            (b"\1\0a\2\0bc", {"a": "bc"}),
            (b"\1\0a\0\0\1\0b\1\0c", {"a": "", "b": "c"}),
        ]:
            self.assertEqual(uwsgi.parse_vars(block), expected)
        for block in [b"\1", b"\1\0", b"\1\0a", b"\1\0a\5\0b", b"\0\0\1\0a", b"\xff\xffa"]:
            with self.subTest(block), self.assertRaises(uwsgi.UwsgiError):
                uwsgi.parse_vars(block)

    def test_body_lengths(self) -> None:
        for raw, size in [("", 0), ("0", 0), ("12", 12), (" 12 ", 12), ("2048", 2048)]:
            self.assertEqual(uwsgi.body_length({"CONTENT_LENGTH": raw}, 2048), size)
        for raw in ["-1", "1.5", "0x10", "١٢", "9" * 19]:
            with self.subTest(raw), self.assertRaises(uwsgi.UwsgiError):
                uwsgi.body_length({"CONTENT_LENGTH": raw}, 2048)
        with self.assertRaises(uwsgi.BodyTooLarge):
            uwsgi.body_length({"CONTENT_LENGTH": "2049"}, 2048)

    def test_http_response_to_each_answer(self) -> None:
        for answer, status, retry in [
            (Answer(Verdict.SERVED), 200, None),
            (Answer(Verdict.REFUSED, retry_after_ms=1), 503, b"1"),
            (Answer(Verdict.REFUSED, retry_after_ms=1000), 503, b"1"),
            (Answer(Verdict.REFUSED, retry_after_ms=1001), 503, b"2"),
            (Answer(Verdict.REFUSED), 503, None),
            (Answer(Verdict.FAILED), 502, None),
            (Answer(Verdict.FAILED, late=True), 504, None),
            (Answer(Verdict.REFUSED, retry_after_ms=9, late=True), 504, None),
        ]:
            with self.subTest(answer):
                self.assertEqual(uwsgi.http_status(answer), status)
                raw = uwsgi.encode_response(status, b"x", answer.retry_after_ms)
                self.assertTrue(raw.startswith(b"HTTP/1.1 %d " % status))
                self.assertEqual(b"Retry-After" in raw, retry is not None)
                if retry is not None:
                    self.assertIn(b"\r\nRetry-After: %b\r\n" % retry, raw)

    def test_locations_and_tenants(self) -> None:
        raw = site_file(
            location=[
                {"path": "/", "class": "busca"},
                {"path": "/m", "class": "miniatura"},
                {"path": "/m/x", "match": "exact", "class": "cadastro"},
                {"path": "/m/x", "class": "visualizador"},
            ],
            default_tenant="museu-sertao",
        )
        site = read_site(raw, read_config(CONFIG, {}).settings)
        for path, class_index in [("/", 2), ("/z", 2), ("/m", 0), ("/mz", 0), ("/m/x", 3), ("/m/x/", 1)]:
            found = site.find_location(path)
            self.assertEqual(found and found.class_index, class_index, path)
        for host, tenant in [("grande.museus.example", 0), ("Grande.Museus.Example:80", 0), ("other", 3), ("", 3)]:
            self.assertEqual(site.tenant_for_host(host), tenant, host)


class RandomInput(unittest.TestCase):
    def test_random_input_raises_only_the_parsers_own_error(self) -> None:
        """Connections handle only the parser's own error; any other would end as a traceback in the reactor's log."""
        draw = random.Random(7)
        frame = resp.encode(b"CALL", b"7", b"busca", b"txn=9b1f03aa5c7e2d41,door=1764576000123", b"body")
        seeds: list[tuple[bytes, Callable[[bytes], object], type[Exception]]] = [
            (frame, read_stream, resp.RespError),
            (b"finished 4 9b1f good 12.5 96", pool.parse_notice, pool.PoolError),
            (b"polled t 0.5 3 0.1 8", pool.parse_notice, pool.PoolError),
            (b"\4\0PATH\1\0/\1\0a\2\0bc", uwsgi.parse_vars, uwsgi.UwsgiError),
            (b"HTTP/1.1 200 OK", lambda line: backend.ReplyReader().feed_line(line), backend.ReplyError),
            (b"a=1,b=2", resp.read_fields, resp.FieldError),
        ]
        for seed, parse, error in seeds:
            for _ in range(400):
                data = bytearray(seed)
                for _ in range(draw.randrange(1, 4)):
                    at = draw.randrange(len(data))
                    data[at : at + draw.randrange(3)] = draw.randbytes(draw.randrange(3))
                    data = data or bytearray(b"x")
                with contextlib.suppress(error):
                    parse(bytes(data))


class Configuration(unittest.TestCase):
    def test_environment_variables_override_the_file(self) -> None:
        got = read_config(CONFIG, {"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:99"})
        self.assertEqual((got.name, got.listen.host, got.listen.port, got.seed), ("n9", "127.0.0.9", 99, 0x8C))
        self.assertEqual([request_class.name for request_class in got.settings.request_classes][3], "cadastro")
        self.assertEqual(got.settings.gauge_names, ("cpu_busy", "runnable", "mem_used", "sockets"))

    def test_errors_name_the_invalid_key(self) -> None:
        for key, value in [
            ("name", ""),
            ("name", 5),
            ("listen", "here"),
            ("pool", "a:b"),
            ("pool", 3),
            ("seed", "zz"),
            ("stop_ms", -1),
            ("stop_ms", "x"),
            ("limits", []),
            ("settings", 1),
            ("announce", "x"),
            ("catalog", ":1"),
        ]:
            with self.subTest(key=key, value=value):
                with self.assertRaises(ConfigError) as caught:
                    read_config(CONFIG | {key: value}, {})
                self.assertTrue(str(caught.exception).startswith(key))
        for key in ("listen", "pool", "stop_ms", "limits", "settings"):  # no default may take their place
            with self.assertRaisesRegex(ConfigError, f"^{key}: "):
                read_config({name: value for name, value in CONFIG.items() if name != key}, {})
        for key in ("memory_mb", "sockets"):
            limits = {name: value for name, value in LIMITS.items() if name != key}
            with self.assertRaisesRegex(ConfigError, f"^limits.{key}: missing"):
                read_config(CONFIG | {"limits": limits}, {})
        deep, odd = site_settings(), site_settings(say="loudly")
        deep["lanes"][1]["aim"] = "soon"
        odd["lanes"][1]["effect"] = "sometimes"
        # Without them a class would silently get the default: safe, or no window.
        no_effect, no_window, null_effect, null_window = (site_settings() for _ in range(4))
        del no_effect["lanes"][3]["effect"], no_window["lanes"][3]["memorySpan"]
        null_effect["lanes"][0]["effect"] = None
        null_window["lanes"][3]["memorySpan"] = None
        for settings, named in [
            (deep, "lanes.1.aim"),
            ({"familyInfo": {"cores": 0}}, "cores"),
            (odd, "lanes.1.effect"),
            (no_effect, "settings: lanes.3.effect: missing"),
            (null_effect, "settings: lanes.0.effect: None is none of safe, keyed, unsafe"),
            (no_window, "settings: lanes.3.memorySpan: missing"),
            (null_window, "settings: lanes.3.memorySpan: None is not a number of 0 or more"),
            (site_settings(say="loudly"), "familyInfo.say"),
        ]:
            with self.assertRaisesRegex(ConfigError, named):
                read_config(CONFIG | {"settings": settings}, {})

    def test_errors_in_the_uwsgi_file_name_the_invalid_key(self) -> None:
        settings = read_config(CONFIG, {}).settings
        location = {"path": "/x", "class": "busca"}
        cases: list[tuple[dict[str, Any], str]] = [
            ({"listen": "x"}, "uwsgi.listen"),
            ({"location": []}, "uwsgi.location"),
            ({"port": 1}, "uwsgi.port"),
            ({"location": [location | {"class": "x"}]}, "uwsgi.location.0.class"),
            ({"location": [location | {"path": "x"}]}, "uwsgi.location.0.path"),
            ({"location": [location, location]}, "uwsgi.location.1.path"),
            ({"location": [location | {"match": "regex"}]}, "uwsgi.location.0.match"),
            ({"location": [location | {"timeout_ms": "5s"}]}, "uwsgi.location.0.timeout_ms"),
            ({"hosts": {"a": "louvre"}}, "uwsgi.hosts.a"),
            ({"max_body": 10**9}, "uwsgi.max_body"),
            ({"read_timeout_ms": 0}, "uwsgi.read_timeout_ms"),
            ({"ram_kb": True}, "uwsgi.ram_kb"),
        ]
        for change, named in cases:
            with self.subTest(change), self.assertRaisesRegex(ConfigError, f"^{named}"):
                read_site(site_file(**change), settings)

    def test_nginx_units(self) -> None:
        for word, ms in [
            ("5", 5000),
            ("5s", 5000),
            ("500ms", 500),
            ("1m30s", 90_000),
            ("1h", 3_600_000),
            ("", None),
            ("soon", None),
            ("-1", None),
        ]:
            self.assertEqual(read_time(word), ms, word)
        for word, size in [("2048", 2048), ("2k", 2048), ("1M", 1024**2), ("x", None), ("", None)]:
            self.assertEqual(read_size(word), size, word)


if __name__ == "__main__":
    unittest.main()
