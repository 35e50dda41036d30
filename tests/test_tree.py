"""The settings tree: inheritance, errors and bounds."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from auburnsail import effective, parse_tree
from auburnsail._document import locate
from auburnsail._tree import precedence
from auburnsail.exceptions import SettingsError

DOCUMENT = """{
  // Waiting is cheap here.
  "queue": {"max_wait_ms": 70},
  "regions": {"wien": {"domains": {"wien-1": {}, "wien-2": {}}}, "tirol": {}},
  "services": {
    "catalogue": {
      "keyed": true,
      "shards": 64
    }
  }
}
"""


def errors_of(text: str) -> str:
    """Returns the message with which a document is refused."""
    try:
        parse_tree(text, "tree.jsonc", locate=locate)
    except SettingsError as error:
        return error.detail
    raise AssertionError("the document was accepted")


class InheritanceTest(unittest.TestCase):
    """Which statement of a value is in force."""

    @given(st.sets(st.integers(0, 5)))
    def test_last_stating_scope_wins(self, stating):
        """Guards against a level overriding a more specific one, for all sets of statements."""
        tree = parse_tree(DOCUMENT.replace('"queue": {"max_wait_ms": 70},', ""), "t")
        scopes = precedence("catalogue", "wien", "wien-1")
        for position in stating:
            tree.statements[scopes[position]] = {"queue.max_wait_ms": position}
        expected = max(stating, default=100)
        settings = effective(tree, "catalogue", "wien", "wien-1")
        self.assertEqual(settings.queue.max_wait_ms, expected)
        sibling = effective(tree, "catalogue", "wien", "wien-2")
        self.assertEqual(sibling.queue.max_wait_ms, max(stating - {4, 5}, default=100))

    def test_service_settings_and_neighbours_are_kept(self):
        """Guards against a partly stated section resetting its other values."""
        settings = effective(parse_tree(DOCUMENT, "t"), "catalogue", "tirol")
        self.assertEqual((settings.keyed, settings.shards), (True, 64))
        self.assertEqual((settings.queue.max_wait_ms, settings.queue.max_requests), (70, 64))


class ErrorTest(unittest.TestCase):
    """Messages for invalid documents."""

    def test_each_problem_names_line_path_and_allowed_values(self):
        """Guards against errors that leave the operator searching."""
        cases = [
            ('"shards": 64', '"shards": 0', "8: services.catalogue.shards: Expected `int` >= 1; "
             "allowed: integer from 1 to 1048576"),
            ('"keyed"', '"keyd"', "7: services.catalogue.keyd: unknown name; did you mean 'keyed'?"),
            ("max_wait_ms", "max_wait", "3: queue.max_wait: unknown name; "
             "did you mean 'max_wait_ms'?"),
            ("70", "NaN", "3: queue.max_wait_ms: Expected `int`, got `float`; "
             "allowed: integer from 0 to 60000"),
            ('"queue": {"max_wait_ms": 70}', '"placement": {"churn_weight": NaN}',
             "3: placement.churn_weight: Expected `float` >= 0.0; allowed: number from 0 to 1000"),
            ('"shards": 64', '"shards": 64, "regions": {"wein": {}}',
             "8: services.catalogue.regions.wein: no region of that name under the platform's "
             "regions; did you mean 'wien'?"),
            ('"shards": 64', '"lease": {}',
             "8: services.catalogue.lease: may be stated at the platform level only"),
            ("true,", "true", "8: Expected 'comma' or U+007d near"),
        ]  # fmt: skip
        for old, new, message in cases:
            with self.subTest(message):
                self.assertIn(f"tree.jsonc:{message}", errors_of(DOCUMENT.replace(old, new)))

    def test_unsafe_lease_is_refused(self):
        """Guards against a lease that one lost renewal ends."""
        section = '"lease": {"renewal_ms": 300, "watcher_silent_ms": 500}'
        message = errors_of(DOCUMENT.replace('"queue": {"max_wait_ms": 70}', section))
        self.assertIn("lease.duration_ms: 600 is less than 3 renewals of 300 ms", message)

    def test_rule_across_levels_names_the_stating_level(self):
        """Guards against rules that hold at each level alone but not for the merged values."""
        text = DOCUMENT.replace('"queue"', '"requests": {"max_deadline_ms": 90}, "queue"').replace(
            '"wien-1": {}', '"wien-1": {"queue": {"max_wait_ms": 95}}'
        )
        message = errors_of(
            text.replace('{"max_deadline_ms"', '{"default_deadline_ms": 9, "max_deadline_ms"')
        )
        path = "regions.wien.domains.wien-1.queue.max_wait_ms"
        self.assertEqual(
            message,
            f"tree.jsonc:4: {path}: 95 must be less than requests.max_deadline_ms (90)",
        )

    def test_node_ignores_unknown_names_only(self):
        """Guards against an older node that rejects a newer tree, or accepts an invalid one."""
        newer = DOCUMENT.replace('"queue"', '"later": {"x": 1}, "queue"')
        tree = parse_tree(newer, "t", ignore_unknown=True)
        self.assertEqual(tree.ignored, ("later",))
        with self.assertRaises(SettingsError):
            parse_tree(newer.replace("64", "-1"), "t", ignore_unknown=True)

    def test_defaults_satisfy_the_rules(self):
        """Guards against built-in defaults that an empty tree could not use."""
        parse_tree(msgspec.json.encode({"services": {"a": {}}}).decode(), "t")
