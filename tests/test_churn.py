"""The churn report: ownership changes by reason."""

import unittest

from auburnsail._fleet import FleetState
from auburnsail._model import (
    Assign,
    DeclareLost,
    Entry,
    Grant,
    Join,
    Session,
    SessionId,
    Transfer,
    encode_entry,
)
from auburnsail._report_churn import FleetVersionTimes, churn_report
from auburnsail._snapshot import Snapshot
from auburnsail._store_retry import RetrySchedule
from auburnsail._tree import parse_tree
from auburnsail._versioned_log import VersionedLog
from tests.fake_table import FakeTable

A, B, C = (SessionId(name, 1) for name in "abc")
TREE = parse_tree('{"services": {"s": {"keyed": true, "shards": 8}}}', "test")


def join(session_id):
    """Returns the command that opens a session."""
    return Join(f"join {session_id}", Session(session_id, "r", "d", "x:1", "x:2", "s", 4))


ENTRIES = (
    (join(A), join(C), Assign("1", "s", (Grant(A, tuple(range(8))),), 8)),
    (join(B),),
    (Transfer("2", "s", A, B, (0, 1, 2), (1, 1, 1)),),
    # Has no effect, because the epoch is not that of the shard.
    (Transfer("3", "s", A, C, (3,), (7,)),),
    (DeclareLost("4", A, "op", (Grant(B, (3, 4, 5, 6)),)),),
    (Assign("5", "s", (Grant(C, (7,)),), 8),),
)


class ChurnTest(unittest.TestCase):
    """Churn of a period in the fleet log."""

    def test_changes_count_once_under_their_reason(self):
        """Guards against first assignments or commands without effect that count as churn."""
        store, fleet = FakeTable(), FleetState()
        fleet.add_service("s", 8)
        log = VersionedLog(store, "fleet")
        for number, commands in enumerate(ENTRIES):
            entry = Entry(number + 1, fleet.digest, str(number), commands)
            fleet.apply(entry)
            log.append(number, str(number), encode_entry(entry))
        versions = FleetVersionTimes()
        for end_s, version in ((60, 1), (120, len(ENTRIES))):
            versions.add(Snapshot("n", "run", 0, "r", "d", end_s - 60, end_s, 0.0, version))
        report = churn_report(store, TREE, 60, 120, versions, RetrySchedule(0))
        (churn,) = report.services
        self.assertEqual((report.from_version, report.to_version), (1, 6))
        self.assertEqual((report.joined, report.ended), (1, {"DeclareLost": 1}))
        self.assertEqual(churn.moved, {"close": 4, "transfer": 3, "assign": 1})
        self.assertEqual((churn.first, churn.lost), (0, 1))
        self.assertEqual(churn.moved_share, 1.0)
        # The lost session owned five shards; the share of the joined session is only four.
        self.assertEqual(churn.least_share, 5 / 8)


if __name__ == "__main__":
    unittest.main()
