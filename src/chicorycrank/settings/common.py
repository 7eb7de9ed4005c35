"""Types and checks shared by the settings of several programs."""

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Annotated

from msgspec import Meta

from chicorycrank.settings.findings import Problem

NonEmptyStr = Annotated[str, Meta(min_length=1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Address = Annotated[str, Meta(pattern="^[^ ]+:[0-9]+$")]
Seconds = float


class LogLevel(Enum):
    """Minimum severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def check_url(name: str, url: str) -> Iterator[Problem]:
    """Yield a problem unless ``url`` is an HTTP or HTTPS URL."""
    if not url.startswith(("http://", "https://")):
        yield Problem(
            path=(name,),
            text=f"{name} is {url!r}",
            remedy="it must be a base URL such as http://192.0.2.1:7000",
        )


def check_minimums(
    name: str, value: object, minimum_by_field: Mapping[str, int]
) -> Iterator[Problem]:
    """Yield a problem for each field of ``value`` that is below its minimum."""
    for field, minimum in minimum_by_field.items():
        number = getattr(value, field)
        if number < minimum:
            yield Problem(
                path=(name, field),
                text=f"{name}.{field} is {number}, which is out of range",
                remedy=f"it must be at least {minimum}",
            )
