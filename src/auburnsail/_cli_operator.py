"""The auburnsail program, the command line for operators."""

import click

from . import _cli_settings, _cli_settings_read, _cli_status
from ._cli_common import EXIT_CODES_HELP
from ._cli_explain_logs import explain_request, key_history

__all__ = ["main"]


@click.group(epilog=EXIT_CODES_HELP)
@click.version_option(package_name="auburnsail")
def main() -> None:
    """Shows and changes the settings and the state of a fleet."""


@main.group(epilog=EXIT_CODES_HELP)
def settings() -> None:
    """Proposes, reviews, accepts and explains changes to the settings tree."""


for _command in (*_cli_settings.COMMANDS, *_cli_settings_read.COMMANDS):
    settings.add_command(_command)

for _command in (*_cli_status.COMMANDS, key_history, explain_request):
    main.add_command(_command)


if __name__ == "__main__":
    main()
