"""Run the entry: the command ``chicorycrank-entry``."""

import argparse
import asyncio
import signal
import sys
import uuid
from pathlib import Path

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.adapters.http_store import HttpStore
from chicorycrank.adapters.logs import set_up_absl_logs
from chicorycrank.entry.http_api import start_http, stop_http
from chicorycrank.entry.process import Entry
from chicorycrank.model.ids import Incarnation
from chicorycrank.settings.entry import EntrySettings, check_entry
from chicorycrank.settings.reader import SettingsError, read_settings

EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Parse the command line and run the entry until a signal arrives."""
    parser = argparse.ArgumentParser(prog="chicorycrank-entry", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    try:
        settings = read_settings(parser.parse_args().settings, EntrySettings, check_entry)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    set_up_absl_logs(settings.log_level.value, settings.region)
    asyncio.run(_run(settings))


async def _run(settings: EntrySettings) -> None:
    store = HttpStore(settings.store_url)
    entry = Entry(settings, store, SystemClock(), Incarnation(uuid.uuid4().hex))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, entry.stop)
    start_http(entry, loop)
    await entry.run()
    await asyncio.to_thread(stop_http)
    store.close()


if __name__ == "__main__":
    main()
