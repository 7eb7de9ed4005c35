"""The configuration in force at this entry."""

import logging
from collections.abc import Callable

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Generation, Nonce
from chicorycrank.model.messages import ConfigOffer

logger = logging.getLogger("absl")


class ConfigHolder:
    """Keeps the highest configuration seen; it never goes back.

    :param on_change: called with each newer configuration
    """

    def __init__(self, on_change: Callable[[Config], None]) -> None:
        self.config = Config()
        self.document = encode(self.config)
        self.malformed = 0
        self.lower = 0
        self.contradictions = 0
        self._on_change = on_change
        self._reported: set[tuple[Generation, Nonce]] = set()

    @property
    def offer(self) -> ConfigOffer:
        """The configuration as a message."""
        return ConfigOffer(self.config.generation, self.document)

    def take(self, document: bytes) -> bool:
        """Put a document in force if it is newer; malformed and lower ones are counted."""
        try:
            config = decode(document, Config)
        except CodecError as error:
            self.malformed += 1
            logger.error("event=config_refused error=%s", error)
            return False
        if config.generation == self.config.generation:
            self.compare(config.generation, config.nonce)
            return False
        if config.generation < self.config.generation:
            self.lower += 1
            return False
        self.config = config
        self.document = document
        logger.info("event=config_in_force generation=%d", config.generation)
        self._on_change(config)
        return True

    def compare(self, generation: Generation, nonce: Nonce) -> None:
        """Report another document of the generation in force.

        The compare-and-swap lets one document through per generation, so two of them mean that
        the store lost or replaced its content.
        """
        mine = self.config
        if generation != mine.generation or nonce == mine.nonce:
            return
        self.contradictions += 1
        if (generation, nonce) not in self._reported:
            self._reported = {(generation, nonce)}
            logger.error(
                "event=config_contradiction generation=%d nonce=%s other_nonce=%s",
                generation,
                mine.nonce,
                nonce,
            )
