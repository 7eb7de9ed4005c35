"""Exchange of the configuration with connected agents and entries."""

import logging
from datetime import timedelta

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.entry.config_holder import ConfigHolder
from chicorycrank.entry.directory import Directory
from chicorycrank.model.ids import Generation, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    ConfigInForce,
    ConfigOffer,
    ConfigRequest,
    Digest,
    Role,
)
from chicorycrank.ports.links import Link, LinkError

CALL_TIMEOUT = timedelta(seconds=2)

logger = logging.getLogger("absl")


class ConfigExchange:
    """Distributes the configuration of the highest generation among this entry and its peers."""

    def __init__(
        self, holder: ConfigHolder, directory: Directory, background: BackgroundTasks
    ) -> None:
        self._holder = holder
        self._directory = directory
        self._background = background

    def offer_to_all(self) -> None:
        """Offer the configuration to every connected peer."""
        links: list[Link] = [target.link for target in self._directory.targets_by_id.values()]
        links += [peer.link for peer in self._directory.peers_by_id.values() if peer.link]
        for link in links:
            self._background.start(self.offer(link))

    async def offer(self, link: Link) -> None:
        """Offer the configuration to a peer; an agent that has a newer one is queried for it."""
        try:
            if link.peer.role is Role.ENTRY:
                await link.send(self._holder.offer)
                return
            reply = await link.request(self._holder.offer, timeout=CALL_TIMEOUT)
            self.handle_agent_message(link, reply)
            if isinstance(reply, ConfigInForce) and reply.generation > self._generation:
                newer = await link.request(ConfigRequest(self._generation), timeout=CALL_TIMEOUT)
                self.handle_agent_message(link, newer)
        except LinkError as error:
            logger.info("event=config_offer_lost peer=%s error=%s", link.peer.peer_id, error)

    def handle_agent_message(self, link: Link, message: AnyMessage) -> None:
        """Apply an agent's configuration, or record the generation that the agent has applied."""
        if isinstance(message, ConfigOffer):
            self._holder.apply_if_newer(message.document)
        target = self._directory.targets_by_id.get(TargetId(link.peer.peer_id))
        if isinstance(message, ConfigInForce) and target is not None and target.link is link:
            target.config_generation = max(target.config_generation, message.generation)

    async def handle_digest(self, link: Link, digest: Digest) -> None:
        """Compare the configuration in another entry's digest and fetch it if it is newer."""
        self._holder.check_nonce(digest.config_generation, digest.config_nonce)
        if digest.config_generation <= self._generation:
            return
        try:
            reply = await link.request(ConfigRequest(self._generation), timeout=CALL_TIMEOUT)
        except LinkError as error:
            logger.info("event=config_not_fetched peer=%s error=%s", link.peer.peer_id, error)
            return
        if isinstance(reply, ConfigOffer):
            self._holder.apply_if_newer(reply.document)

    @property
    def _generation(self) -> Generation:
        return self._holder.config.generation
