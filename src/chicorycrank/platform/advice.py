"""HTTP client of the platform's advice service, which selects the executors for a step."""

from collections.abc import Sequence

from chicorycrank.platform.client import NoAnswerError, PlatformClient
from chicorycrank.ports.advice import AdviceUnavailableError, AllowedExecutors


class PlatformAdvice:
    """Advice service over HTTP; implements :class:`~chicorycrank.ports.advice.AdviceService`."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def query_executors(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> AllowedExecutors:
        """Return those of ``executors`` that may run a step."""
        body = {"step": step, "workers": list(executors)}
        try:
            answer = self._client.call("POST", "/-/advise", body, timeout_s=timeout_s)
        except NoAnswerError as error:
            raise AdviceUnavailableError(str(error)) from error
        if answer.status != 200:
            raise AdviceUnavailableError(f"POST /-/advise: status {answer.status}, expected 200")
        rows = answer.body.get("allowed", ())
        return AllowedExecutors(
            ticket_by_executor={str(row[0]): str(row[1]) for row in rows},
            validity_s=float(answer.body.get("validityMs", 0)) / 1000,
        )
