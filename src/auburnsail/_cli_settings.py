"""Commands that change the settings tree."""

import re
from pathlib import Path

import click

from ._cli_common import common_options, read_file, settings_changes, store_options, table_lines
from ._edits import Edit, edits_between, set_edits, unset_edits
from ._fleet_view import node_per_region, push_record
from ._proposals import Proposal, review_problem, text_diff
from ._settings import decode_jsonc
from ._settings_changes import SettingsChanges, encode_accepted_record
from .exceptions import SettingsError

__all__ = ["COMMANDS", "VERSION_LINE", "proposal_summary"]

VERSION_LINE = "// settings version {version}\n"
_VERSION_PATTERN = re.compile(r"// settings version (\d+)\r?\n")

FILE_TYPE = click.Path(path_type=Path, dir_okay=False)


@click.command()
@click.argument("file", type=FILE_TYPE)
@store_options
@common_options
def init(file, store, operator, timeout_s, output) -> None:
    """Puts FILE into force as the first version of the settings tree."""
    changes = settings_changes(store, operator or "setup", timeout_s, requires_operator=True)
    version = changes.initialise(read_file(file), str(file))
    output.show({"version": version}, [f"{file} is settings version {version}"])


@click.command()
@click.argument("file", type=FILE_TYPE, required=False)
@click.option("--set", "sets", multiple=True, metavar="PATH=VALUE", help="Set a value.")
@click.option(
    "--unset",
    "unsets",
    multiple=True,
    metavar="PATH",
    help="Remove a value, so that it is inherited.",
)
@click.option("--title", default="", help="Purpose of the change.")
@click.option("--base", type=int, help="Version that FILE was edited from.")
@click.option("--amend", metavar="ID", help="Replace the content of this open proposal.")
@click.option(
    "--id", "proposal_id", default="", help="Proposal id; makes a repeated command idempotent."
)
@store_options
@common_options
def propose(
    file, sets, unsets, title, base, amend, proposal_id, store, operator, timeout_s, output
) -> None:
    """Proposes a change: a complete edited FILE, or single values with --set and --unset.

    FILE is edited output of `auburnsail settings show`; its first line gives the base version.
    """
    if bool(file) == bool(sets or unsets):
        raise click.UsageError("give either FILE, or --set and --unset")
    if not (title or amend):
        raise click.UsageError("the purpose of the change is required: use --title")
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    if file:
        text, line_version = _split_version_line(read_file(file))
        base, source = line_version if base is None else base, str(file)
        if base is None:
            raise click.UsageError("the version that FILE was edited from is required: use --base")
    else:
        base, text = _edit_tree(changes, sets, unsets, amend)
        source = "edited tree"
    if amend:
        proposal = changes.amend(amend, text, source, base, title)
    else:
        proposal = changes.propose(title, text, source, base, proposal_id)
    output.show(proposal_summary(proposal), _proposal_lines(proposal))


@click.command()
@click.argument("proposal", metavar="ID", required=False)
@click.option("--from", "old", type=int, help="First version to compare, instead of a proposal.")
@click.option("--to", "new", type=int, help="Version to compare it with.")
@store_options
@common_options
def diff(proposal, old, new, store, operator, timeout_s, output) -> None:
    """Shows what a proposal changes, or the difference of two versions."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=False)
    if proposal:
        found_proposal = changes.proposals.read(proposal)
        lines = text_diff(
            found_proposal.base_text,
            found_proposal.text,
            f"version {found_proposal.base}",
            proposal,
        )
        content = {**proposal_summary(found_proposal), "diff": lines}
        output.show(content, [*_proposal_lines(found_proposal), "", *lines])
        return
    if old is None or new is None:
        raise click.UsageError("give a proposal's ID, or --from and --to")
    texts = [changes.history.record(version).text for version in (old, new)]
    edits = _edits_between_texts(*texts)
    lines = text_diff(*texts, f"version {old}", f"version {new}")
    output.show({"edits": edits, "diff": lines}, [*map(str, edits), "", *lines])


@click.command()
@click.argument("proposal", metavar="ID")
@click.option("--approve", "verdict", flag_value="approve", help="Approve the content.")
@click.option("--object", "verdict", flag_value="object", help="Object, which blocks acceptance.")
@click.option("--note", default="", help="Comment for the authors.")
@click.option(
    "--content",
    default="",
    help="Content digest printed by `diff`; refuses to review any other content.",
)
@store_options
@common_options
def review(proposal, verdict, note, content, store, operator, timeout_s, output) -> None:
    """Approves a proposal or objects to it; the newest verdict of each reviewer counts."""
    if verdict is None:
        raise click.UsageError("give --approve or --object")
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    reviewed = changes.review(proposal, verdict, note, content)
    output.show(proposal_summary(reviewed), _proposal_lines(reviewed))


@click.command()
@click.argument("proposal", metavar="ID")
@click.option("--base", type=int, help="Version that the proposal is expected to be based on.")
@click.option(
    "--push",
    multiple=True,
    metavar="IP:PORT",
    envvar="AUBURNSAIL_PUSH",
    help="Control address of a node to push to, instead of one node per region; may be repeated.",
)
@click.option(
    "--secret-file",
    type=FILE_TYPE,
    envvar="AUBURNSAIL_SECRET_FILE",
    help="File with the fleet secret, to push the change to nodes; or AUBURNSAIL_SECRET_FILE.",
)
@store_options
@common_options
def accept(proposal, base, push, secret_file, store, operator, timeout_s, output) -> None:
    """Puts an approved proposal into force as the version after its base version.

    Nodes read it from the store within seconds. With --secret-file it is also pushed to some nodes,
    so that it reaches all nodes even if the store fails right after the acceptance. If the outcome
    is unknown, run the same command again to determine it.
    """
    if push and not secret_file:
        raise click.UsageError("--push needs --secret-file")
    secret = read_file(secret_file).strip() if secret_file else ""
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    if secret and not push:
        # Read before the acceptance, since the store may fail right after it.
        push = node_per_region(store, changes)
    accepted = changes.accept(proposal, base)
    failed_pushes = push_record(push, accepted.version, encode_accepted_record(accepted), secret)
    push_failures = [f"push to {answer.address} failed: {answer.error}" for answer in failed_pushes]
    lines = [f"{accepted.id} is settings version {accepted.version}", *push_failures]
    summary = {"pushed_to": push, "not_pushed": [answer.address for answer in failed_pushes]}
    output.show(proposal_summary(accepted) | summary, lines)


@click.command()
@click.argument("proposal", metavar="ID")
@click.option("--note", default="", help="Reason.")
@store_options
@common_options
def reject(proposal, note, store, operator, timeout_s, output) -> None:
    """Closes a proposal without accepting it."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    rejected = changes.reject(proposal, note)
    output.show(proposal_summary(rejected), _proposal_lines(rejected))


@click.command()
@click.argument("proposal", metavar="ID")
@store_options
@common_options
def rebase(proposal, store, operator, timeout_s, output) -> None:
    """Moves a proposal onto the version in force, unless both changed the same values.

    Approvals remain valid if the edits are the same as before.
    """
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    rebased = changes.rebase(proposal)
    output.show(proposal_summary(rebased), _proposal_lines(rebased))


@click.command()
@click.argument("version", type=int)
@click.option("--whole", is_flag=True, help="Return to VERSION, undoing all later changes.")
@click.option("--title", default="", help="Reason.")
@click.option(
    "--id", "proposal_id", default="", help="Proposal id; makes a repeated command idempotent."
)
@store_options
@common_options
def revert(version, whole, title, proposal_id, store, operator, timeout_s, output) -> None:
    """Proposes to undo the change that created VERSION; the proposal is reviewed as usual."""
    changes = settings_changes(store, operator, timeout_s, requires_operator=True)
    reverting_proposal = changes.revert(version, title, proposal_id, whole=whole)
    output.show(proposal_summary(reverting_proposal), _proposal_lines(reverting_proposal))


COMMANDS = (init, propose, diff, review, accept, reject, rebase, revert)


def proposal_summary(proposal: Proposal) -> dict:
    """Returns the fields of a proposal that are printed with ``--json``."""
    return {
        "id": proposal.id,
        "title": proposal.title,
        "state": proposal.state,
        "base": proposal.base,
        "version": proposal.version or None,
        "authors": proposal.authors,
        "approved_by": proposal.approvers,
        "lacks": review_problem(proposal) if proposal.state == "open" else "",
        "content": proposal.content,
        "edits": proposal.edits,
        "events": proposal.events,
    }


def _proposal_lines(proposal: Proposal) -> list[str]:
    summary = proposal_summary(proposal)
    names = ("state", "base", "version", "authors", "approved_by", "lacks", "content")
    rows = [(name.replace("_", " "), summary[name]) for name in names if summary[name]]
    header = ("proposal", f"{proposal.id}  {proposal.title}")
    edits = [f"  {edit}" for edit in proposal.edits] or ["  no values, only comments or layout"]
    return [*table_lines(header, rows), "changes:", *edits]


def _split_version_line(text: str) -> tuple[str, int | None]:
    match = _VERSION_PATTERN.match(text)
    return (text[match.end() :], int(match[1])) if match else (text, None)


def _edit_tree(changes: SettingsChanges, sets, unsets, amend: str | None) -> tuple[int, str]:
    from ._document_edit import apply_edits

    if amend:
        proposal = changes.proposals.read(amend)
        base, text = proposal.base, proposal.text
    else:
        base = changes.history.head()
        text = changes.history.record(base).text
    edits = tuple(edit for assignment in sets for edit in _parse_assignment(assignment))
    for path in unsets:
        removed = unset_edits(decode_jsonc(text, "tree"), _parse_path(path))
        if not removed:
            raise SettingsError(f"{path} is not stated", step="settings.propose")
        edits += removed
    return base, apply_edits(text, edits)


def _parse_assignment(assignment: str) -> tuple[Edit, ...]:
    path, sign, value = assignment.partition("=")
    if not sign:
        raise click.UsageError(f"--set {assignment!r} is not of the form PATH=VALUE")
    try:
        decoded = decode_jsonc(value, "value")
    except SettingsError:
        decoded = value  # A string without quotes, as in logging.level=debug.
    return set_edits(_parse_path(path), decoded)


def _parse_path(text: str) -> tuple[str, ...]:
    names = tuple(text.strip().split("."))
    if not all(names):
        raise click.UsageError(f"{text!r} is not a path of names joined by dots")
    return names


def _edits_between_texts(old: str, new: str) -> tuple[Edit, ...]:
    return edits_between(decode_jsonc(old, "old"), decode_jsonc(new, "new"))
