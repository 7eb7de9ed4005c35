"""Log set-up: one event per line, in the format of ``absl.logging``."""

import logging
import sys

FORMAT = "%(levelname).1s%(asctime)s %(process)d %(module)s:%(lineno)d] %(message)s"


def set_up_logs(level: str) -> None:
    """Write log lines to standard error."""
    logging.basicConfig(
        stream=sys.stderr, level=level.upper(), format=FORMAT, datefmt="%m%d %H:%M:%S"
    )
    logging.getLogger("websockets").setLevel(logging.ERROR)
