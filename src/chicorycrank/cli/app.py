"""``chicorycrank``: command line for operators."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from chicorycrank.cli.base import EXIT_USAGE
from chicorycrank.cli.commands import COMMANDS


def make_application() -> Application:
    """Return the application with all commands."""
    application = Application("chicorycrank", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> None:
    """Run the command line and exit with the command's exit code."""
    application = make_application()
    application.catch_exceptions(False)
    application.auto_exits(False)
    try:
        code = application.run()
    except CleoError as error:
        print(f"{error}\nSee chicorycrank --help.", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)


if __name__ == "__main__":
    main()
