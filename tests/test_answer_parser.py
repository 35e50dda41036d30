"""Answers that arrive on a connection but belong to an earlier request."""

import unittest

from auburnsail._answer_parser import AnswerParser, HTTPParseError

ECHO = ("x-id", "2")


def answer(request_id: str, body: bytes, *lines: str) -> bytes:
    """Returns an encoded answer that repeats a request id."""
    fields = [f"X-Id: {request_id}", f"Content-Length: {len(body)}", *lines]
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(fields) + "\r\n\r\n").encode() + body


class EchoTest(unittest.TestCase):
    """Matching of answers to requests by the repeated request id."""

    def test_a_late_answer_to_another_request_is_skipped(self):
        """Guards against an answer to another caller's request that arrives late and is used."""
        data = answer("1", b"other's") + answer("2", b"own")
        for size in (1, 7, len(data)):
            parser = AnswerParser("GET", ECHO)
            body = b""
            for start in range(0, len(data), size):
                parser.feed(data[start : start + size])
                body += parser.pop_body()
            self.assertTrue(parser.is_complete)
            self.assertEqual((body, parser.skipped_answers), (b"own", 1))
            self.assertFalse(
                parser.keep_alive, "further late answers may follow on this connection"
            )

    def test_an_answer_without_an_echo_is_accepted(self):
        """Guards against skipping refusals of other nodes, which do not repeat the id."""
        parser = AnswerParser("GET", ECHO)
        parser.feed(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno")
        self.assertEqual(
            (parser.status, parser.pop_body(), parser.skipped_answers), (503, b"no", 0)
        )

    def test_a_single_mismatched_answer_is_not_accepted(self):
        """Guards against using a mismatched answer because no other one arrives."""
        parser = AnswerParser("GET", ECHO)
        parser.feed(answer("1", b"other's"))
        self.assertFalse(parser.is_head_complete)
        self.assertEqual(parser.pop_body(), b"")


class SplitHeadTest(unittest.TestCase):
    """Heads that arrive in parts."""

    def test_a_reason_phrase_in_parts_is_complete(self):
        """Guards against a phrase that lacks its beginning, or is that of an interim answer."""
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        for phrase in (b"Not Found", b""):
            data = interim + b"HTTP/1.1 404 " + phrase + b"\r\nContent-Length: 0\r\n\r\n"
            for split in range(1, len(data)):
                parser = AnswerParser("GET")
                parser.feed(data[:split])
                parser.feed(data[split:])
                self.assertEqual((parser.status, parser.phrase), (404, phrase.decode()), split)

    def test_a_status_line_inside_a_head_is_found_in_parts(self):
        """Guards against a merged head that passes because its second status line is split."""
        second = answer("2", b"own")
        for first in (b"HTTP/1.1 500 Er", b"HTTP/1.1 500 Error\r\nX-First: va"):
            for split in range(1, (first + second).index(b"\r\n\r\n")):
                parser = AnswerParser("GET", ECHO)
                parser.feed((first + second)[:split])
                with self.assertRaisesRegex(HTTPParseError, "another status line"):
                    parser.feed((first + second)[split:])
                self.assertFalse(parser.is_head_complete)


if __name__ == "__main__":
    unittest.main()
