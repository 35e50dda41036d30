"""Answers that come where another request's answer is due."""

import unittest

from auburnsail._answer_parser import AnswerParser

ECHO = ("x-id", "2")


def answer(request_id: str, body: bytes, *lines: str) -> bytes:
    """Returns an answer that names the request it belongs to."""
    fields = [f"X-Id: {request_id}", f"Content-Length: {len(body)}", *lines]
    return ("HTTP/1.1 200 OK\r\n" + "\r\n".join(fields) + "\r\n\r\n").encode() + body


class EchoTest(unittest.TestCase):
    """Answers are told apart by the id that they repeat."""

    def test_a_late_answer_to_another_request_is_skipped(self):
        """Guards against a caller that gets the answer to somebody else's request."""
        data = answer("1", b"other's") + answer("2", b"own")
        for size in (1, 7, len(data)):
            parser = AnswerParser("GET", ECHO)
            body = b""
            for start in range(0, len(data), size):
                parser.feed(data[start : start + size])
                body += parser.pop_body()
            self.assertTrue(parser.is_complete)
            self.assertEqual((body, parser.skipped_answers), (b"own", 1))
            self.assertFalse(parser.keep_alive, "more may follow on this connection")

    def test_an_answer_without_an_echo_is_accepted(self):
        """Guards against refusals of other nodes, which repeat no id, that are never seen."""
        parser = AnswerParser("GET", ECHO)
        parser.feed(b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno")
        self.assertEqual(
            (parser.status, parser.pop_body(), parser.skipped_answers), (503, b"no", 0)
        )

    def test_a_single_mismatched_answer_is_not_accepted(self):
        """Guards against taking the wrong answer because no other one came."""
        parser = AnswerParser("GET", ECHO)
        parser.feed(answer("1", b"other's"))
        self.assertFalse(parser.is_head_complete)
        self.assertEqual(parser.pop_body(), b"")


if __name__ == "__main__":
    unittest.main()
