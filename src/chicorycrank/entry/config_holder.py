"""Current configuration of this entry."""

import logging
from collections.abc import Callable

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Generation, Nonce
from chicorycrank.model.messages import ConfigOffer

logger = logging.getLogger("absl")


class ConfigHolder:
    """Holds the configuration of the highest generation received; it never reverts to a lower one.

    :param on_change: called with each newly applied configuration
    :ivar malformed_count: number of documents that could not be decoded
    :ivar lower_count: number of documents with a lower generation
    :ivar contradiction_count: number of documents of the same generation with another nonce
    """

    def __init__(self, on_change: Callable[[Config], None]) -> None:
        self.config = Config()
        self.document = encode(self.config)
        self.malformed_count = 0
        self.lower_count = 0
        self.contradiction_count = 0
        self._on_change = on_change
        self._logged_contradictions: set[tuple[Generation, Nonce]] = set()

    @property
    def offer(self) -> ConfigOffer:
        """Message that offers the current configuration."""
        return ConfigOffer(self.config.generation, self.document)

    def apply_if_newer(self, document: bytes) -> bool:
        """Apply a document if its generation is higher; count malformed and lower ones.

        :returns: whether the document was applied
        """
        try:
            config = decode(document, Config)
        except CodecError as error:
            self.malformed_count += 1
            logger.error("event=config_refused error=%s", error)
            return False
        if config.generation == self.config.generation:
            self.check_nonce(config.generation, config.nonce)
            return False
        if config.generation < self.config.generation:
            self.lower_count += 1
            return False
        self.config = config
        self.document = document
        logger.info("event=config_in_force generation=%d", config.generation)
        self._on_change(config)
        return True

    def check_nonce(self, generation: Generation, nonce: Nonce) -> None:
        """Count and log another document of the current generation.

        Releases are written by compare-and-swap, so there is one document per generation. A second
        one means that the store's content was lost or replaced.
        """
        current = self.config
        if generation != current.generation or nonce == current.nonce:
            return
        self.contradiction_count += 1
        if (generation, nonce) not in self._logged_contradictions:
            self._logged_contradictions = {(generation, nonce)}
            logger.error(
                "event=config_contradiction generation=%d nonce=%s other_nonce=%s",
                generation,
                current.nonce,
                nonce,
            )
