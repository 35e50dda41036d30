"""Tests of editing JSON with comments."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET

from auburnsail._document_edit import apply_edits
from auburnsail._edits import Edit, edits_between, flatten
from auburnsail._settings import decode_jsonc

DOCUMENT = """// top
{
  // first
  "queue": {"max_wait_ms": 1, "max_requests": 2}, // after queue
  // before services
  "services": {
    "a": { // open a
      // why keyed
      "keyed": true, // yes
      // why shards
      "shards": 3 // after shards
      // tail a
    }, // after a
    "b": {},
    "c": { /* nothing yet */ },
    "l": {"queue": {"max_requests": 5}} // after l
    // tail
  },
}
// end
"""
PATHS = [
    tuple(path.split("."))
    for path in [
        "queue.max_wait_ms",
        "queue.max_requests",
        "services.a.keyed",
        "services.a.shards",
        "services.b",
        "services.c",
        "services.l",
        "services.l.queue.max_requests",
        "services.b.queue.max_wait_ms",
        "services.c.logging.level",
        "logging.level",
        "services.new",
        "services.new.keyed",
    ]
]


class EditTest(unittest.TestCase):
    """Edits change values and keep order, layout and comments."""

    @settings(max_examples=100, deadline=None)
    @given(st.dictionaries(st.sampled_from(PATHS), st.integers(0, 9) | st.just(UNSET)))
    def test_edits_change_only_the_given_values(self, new_values):
        """Guards against edits that break the syntax, reorder members or change other values."""
        before = flatten(decode_jsonc(DOCUMENT, "t"))
        after = dict(before)
        for path, value in new_values.items():
            is_name = path[0] == "services" and len(path) == 2
            if value is not UNSET:
                after[path] = {} if is_name else value
            else:
                after = {name: old for name, old in after.items() if name[: len(path)] != path}
        for path in list(after):
            if path[0] == "services":
                after[path[:2]] = {}
        edits = tuple(
            Edit(path, before.get(path, UNSET), after.get(path, UNSET))
            for path in sorted(before.keys() | after.keys())
            if before.get(path, UNSET) != after.get(path, UNSET)
        )
        text = apply_edits(DOCUMENT, edits)
        found = decode_jsonc(text, "t")
        self.assertEqual(flatten(found), after)
        kept = [path for path in before if path in after]
        self.assertEqual([path for path in flatten(found) if path in kept], kept)
        for comment in ("// top", "// first", "// after queue", "// tail\n", "// end"):
            self.assertIn(comment, text)
        if not edits:
            self.assertEqual(text, DOCUMENT)
        self.assertEqual(edits_between(decode_jsonc(DOCUMENT, "t"), found), edits)

    def test_layout_follows_the_document(self):
        """Guards against inserted members whose indentation differs from that of the document."""
        edits = (
            Edit(("services", "a", "shards"), 3),
            Edit(("services", "b", "queue", "max_wait_ms"), new=4),
            Edit(("services", "l", "logging", "level"), new="debug"),
        )
        text = apply_edits(DOCUMENT, edits)
        self.assertIn('      "keyed": true // yes\n      // tail a\n    }, // after a\n', text)
        self.assertIn(
            '    "b": {\n      "queue": {\n        "max_wait_ms": 4\n      }\n    },\n', text
        )
        self.assertIn(
            '    "l": {"queue": {"max_requests": 5}, "logging": {"level": "debug"}} // after l\n',
            text,
        )

    def test_comments_of_a_proposal_are_kept(self):
        """Guards against a rebase that drops the comment that the author wrote above a value."""
        proposed = DOCUMENT.replace(
            '"b": {}', '"b": {\n      // Nobody waits.\n      "keyed": false\n    }'
        )
        edits = (Edit(("services", "b", "keyed"), new=False),)
        self.assertEqual(apply_edits(DOCUMENT, edits, proposed), proposed)
