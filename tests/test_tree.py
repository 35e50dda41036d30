"""Tests of the settings tree: inheritance, error messages and validation rules."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from auburnsail import effective, parse_tree
from auburnsail._document import locate
from auburnsail._tree import scopes_by_precedence
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


def parse_error(text: str) -> str:
    """Returns the error message for an invalid document."""
    try:
        parse_tree(text, "tree.jsonc", locate=locate)
    except SettingsError as error:
        return error.detail
    raise AssertionError("the document was accepted")


class InheritanceTest(unittest.TestCase):
    """Precedence of the scopes that state a value."""

    @given(st.sets(st.integers(0, 5)))
    def test_most_specific_scope_wins(self, stating):
        """Guards against a level that overrides a more specific one, for all sets of scopes."""
        tree = parse_tree(DOCUMENT.replace('"queue": {"max_wait_ms": 70},', ""), "t")
        scopes = scopes_by_precedence("catalogue", "wien", "wien-1")
        for position in stating:
            tree.statements[scopes[position]] = {"queue.max_wait_ms": position}
        expected = max(stating, default=100)
        settings = effective(tree, "catalogue", "wien", "wien-1")
        self.assertEqual(settings.queue.max_wait_ms, expected)
        sibling = effective(tree, "catalogue", "wien", "wien-2")
        self.assertEqual(sibling.queue.max_wait_ms, max(stating - {4, 5}, default=100))

    def test_partly_stated_section_keeps_its_other_values(self):
        """Guards against a partly stated section that resets its other values to the defaults."""
        settings = effective(parse_tree(DOCUMENT, "t"), "catalogue", "tirol")
        self.assertEqual((settings.keyed, settings.shards), (True, 64))
        self.assertEqual((settings.queue.max_wait_ms, settings.queue.max_requests), (70, 64))


class ErrorTest(unittest.TestCase):
    """Error messages for invalid documents."""

    def test_each_problem_names_line_path_and_allowed_values(self):
        """Guards against error messages without line, path or allowed values."""
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
                self.assertIn(f"tree.jsonc:{message}", parse_error(DOCUMENT.replace(old, new)))

    def test_unsafe_lease_is_refused(self):
        """Guards against a lease that expires after the loss of a single renewal."""
        section = '"lease": {"renewal_ms": 300, "watcher_silent_ms": 500}'
        message = parse_error(DOCUMENT.replace('"queue": {"max_wait_ms": 70}', section))
        self.assertIn("lease.duration_ms: 600 is less than 3 renewals of 300 ms", message)

    def test_rule_across_levels_names_the_stating_level(self):
        """Guards against checking rules per level only, when the merged values violate them."""
        text = DOCUMENT.replace('"queue"', '"requests": {"max_deadline_ms": 90}, "queue"').replace(
            '"wien-1": {}', '"wien-1": {"queue": {"max_wait_ms": 95}}'
        )
        message = parse_error(
            text.replace('{"max_deadline_ms"', '{"default_deadline_ms": 9, "max_deadline_ms"')
        )
        path = "regions.wien.domains.wien-1.queue.max_wait_ms"
        self.assertEqual(
            message,
            f"tree.jsonc:4: {path}: 95 must be less than requests.max_deadline_ms (90)",
        )

    def test_node_ignores_unknown_names_only(self):
        """Guards against an older node that rejects a newer tree or accepts an invalid one."""
        newer = DOCUMENT.replace('"queue"', '"later": {"x": 1}, "queue"')
        tree = parse_tree(newer, "t", ignore_unknown=True)
        self.assertEqual(tree.ignored, ("later",))
        with self.assertRaises(SettingsError):
            parse_tree(newer.replace("64", "-1"), "t", ignore_unknown=True)

    def test_defaults_satisfy_the_rules(self):
        """Guards against built-in defaults that violate the validation rules."""
        parse_tree(msgspec.json.encode({"services": {"a": {}}}).decode(), "t")
