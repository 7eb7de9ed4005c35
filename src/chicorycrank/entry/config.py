"""The configuration in force at this entry."""

import logging
from collections.abc import Callable

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.model.config import Config
from chicorycrank.model.messages import ConfigOffer

logger = logging.getLogger("absl")


class ConfigHolder:
    """Keeps the highest configuration seen; it never goes back.

    :param on_change: called with each newer configuration
    """

    def __init__(self, on_change: Callable[[Config], None]) -> None:
        self.config = Config()
        self.document = encode(self.config)
        self._on_change = on_change

    @property
    def offer(self) -> ConfigOffer:
        """The configuration as a message."""
        return ConfigOffer(self.config.generation, self.document)

    def take(self, document: bytes) -> bool:
        """Put a document in force if it is newer; malformed documents are refused."""
        try:
            config = decode(document, Config)
        except CodecError as error:
            logger.error("event=config_refused error=%s", error)
            return False
        if config.generation <= self.config.generation:
            return False
        self.config = config
        self.document = document
        logger.info("event=config_in_force generation=%d", config.generation)
        self._on_change(config)
        return True
