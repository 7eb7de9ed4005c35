"""Command ``python -m chicorycrank_standin.demo``, which runs the demonstration."""

import shutil
import sys
import tempfile
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank_standin.demo.plans import PLANS_BY_DEPLOYMENT
from chicorycrank_standin.demo.session import Session


class DemoCommand(Command):
    """Command that runs the demonstration of one deployment."""

    name = "demo"
    description = (
        "Start a deployment on this machine, inject failures under load and check every outcome."
    )
    options = [  # noqa: RUF012
        option("deployment", None, "bureau or clochan", flag=False, default="bureau"),
        option("keep", None, "keep the folder with settings and logs after a success too"),
    ]

    def handle(self) -> int:
        """Run the demonstration and print the tables."""
        plan = PLANS_BY_DEPLOYMENT[self.option("deployment")]
        folder = Path(tempfile.mkdtemp(prefix="chicorycrank-demo-"))
        session = Session(plan, folder, self.line)
        try:
            problems = session.run()
        finally:
            session.fleet.stop()
        for title, headers, rows in session.tables():
            self.line(f"\n<info>{title}</info>")
            self._print_table(headers, rows)
        for problem in problems:
            self.line_error(f"<error>{problem}</error>")
        if problems:
            self.line_error(f"settings and logs: {folder}")
            return 1
        if not self.option("keep"):
            shutil.rmtree(folder)
        self.line("\nEvery outcome matches the executors' records, and every job has ended.")
        return 0

    def _print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        table = self.table()
        table.set_headers(list(headers))
        for row in rows:
            table.add_row(list(row))
        table.render()


def main() -> None:
    """Run the command."""
    application = Application("chicorycrank-demo")
    command = DemoCommand()
    application.add(command)
    application._default_command = "demo"
    application._single_command = True
    sys.exit(application.run())


if __name__ == "__main__":
    main()
