"""Types and checks that settings of several programs share."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Annotated

from msgspec import Meta

from chicorycrank.settings.findings import Problem

Name = Annotated[str, Meta(min_length=1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Address = Annotated[str, Meta(pattern="^[^ ]+:[0-9]+$")]
Seconds = float


class LogLevel(Enum):
    """Least severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def check_url(name: str, url: str) -> Iterator[Problem]:
    """Yield a problem unless ``url`` is the base address of an HTTP interface."""
    if not url.startswith(("http://", "https://")):
        yield Problem(
            path=(name,),
            text=f"{name} is {url!r}",
            remedy="it must be a base address such as http://192.0.2.1:7000",
        )


def check_least(name: str, value: object, least_by_field: Mapping[str, int]) -> Iterator[Problem]:
    """Yield a problem for each field of ``value`` that is below its least value."""
    for field, least in least_by_field.items():
        number = getattr(value, field)
        if number < least:
            yield Problem(
                path=(name, field),
                text=f"{name}.{field} is {number}, which is out of range",
                remedy=f"it must be at least {least}",
            )
