"""Sockets to and from the other VMs."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import attrs
import pynng

from ..core.codec import Codec
from ..core.effects import Effect, RegisterPeer, SendMessage
from ..core.events import MessageReceived
from ..types import VmId
from .metrics import Metrics

# Messages that wait for one peer; what comes on top is dropped, because all
# protocols repeat what matters.
SEND_BUFFER_MESSAGES: Final = 128
RECEIVE_BUFFER_MESSAGES: Final = 1024
# Open sockets to other VMs; the one unused for longest is closed first. The
# control leader talks to all VMs all the time.
MOST_OPEN_SOCKETS: Final = 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1000
LARGEST_MESSAGE_BYTES: Final = 16_777_216
# Each message tells which one of the other side came last, so a connection
# that swallows messages without a reset is noticed, also if the connection of
# the other direction works. An acknowledgement takes a round trip and a poll.
SILENT_S: Final = 1.0
# More than the messages that are sent to one VM in a second.
_NUMBERS_PER_S: Final = 10_000

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """Numbers of the messages to and from one VM.

    Parameters
    ----------
    sent
        Number of the last message to it. The first one comes from the clock,
        so that numbers of an earlier run of this process are smaller.
    heard
        Number of the last message from it.
    unheard_since
        Time since when it has not told that it received anything new.

    """

    sent: int
    heard: int = 0
    acknowledged: int = 0
    unheard_since: float = 0

    def note_send(self, now: float) -> None:
        """Count a message to the VM."""
        if self.acknowledged >= self.sent or not self.unheard_since:
            self.unheard_since = now
        self.sent += 1

    def note_receipt(self, number: int, heard: int, now: float) -> None:
        """Take the numbers of a message from the VM."""
        self.heard = number
        # After a step of the clock back the other side may still tell a number
        # of an earlier run of this process, above all that was sent since.
        if self.acknowledged < heard <= self.sent:
            self.acknowledged = heard
            self.unheard_since = now

    def is_silent(self, now: float) -> bool:
        """Return whether messages go unheard; once per silent time."""
        waits = self.acknowledged < self.sent and bool(self.unheard_since)
        if not waits or now - self.unheard_since < SILENT_S:
            return False
        self.unheard_since = now
        return True


class Peers:
    """Sends and receives messages; a message may be lost.

    Parameters
    ----------
    vm
        Name of this VM, put into each envelope.
    listener
        Socket that all other VMs push to.
    codec
        Codec of the envelopes.
    metrics
        Counts dropped messages and bytes.

    """

    def __init__(
        self, vm: VmId, listener: pynng.Pull0, codec: Codec, metrics: Metrics
    ) -> None:
        """Start without addresses."""
        self._vm = vm
        self._listener = listener
        self._codec = codec
        self._metrics = metrics
        self._addresses: dict[VmId, str] = {}
        self._sockets: OrderedDict[VmId, pynng.Push0] = OrderedDict()
        self._links: dict[VmId, Link] = {}

    def execute(self, effect: Effect) -> bool:
        """Send a message or learn an address; False for other effects."""
        if isinstance(effect, SendMessage):
            self._send(effect)
            return True
        if isinstance(effect, RegisterPeer):
            self.register(effect.vm, effect.address)
            return True
        return False

    def register(self, vm: VmId, address: str) -> None:
        """Remember the address of a VM; a changed one gets a new socket."""
        if self._addresses.get(vm) == address:
            return
        self._addresses[vm] = address
        socket = self._sockets.pop(vm, None)
        if socket is not None:
            socket.close()

    async def receive(
        self,
        clock: Callable[[], float],
        dispatch: Callable[[MessageReceived], None],
    ) -> None:
        """Dispatch messages until cancelled."""
        while True:
            raw = await self._listener.arecv()
            self._metrics.increment('peers.bytes_received', len(raw))
            decoded = self._codec.decode(raw)
            if decoded.is_error():
                self._metrics.increment('peers.undecodable')
                continue
            envelope = decoded.ok
            link = self._find_link(envelope.sender)
            now = time.monotonic()
            link.note_receipt(envelope.sequence, envelope.acknowledged, now)
            dispatch(
                MessageReceived(clock(), envelope.sender, envelope.message)
            )

    def close(self) -> None:
        """Close all sockets to other VMs."""
        while self._sockets:
            self._sockets.popitem()[1].close()

    def _send(self, effect: SendMessage) -> None:
        self._close_silent(effect.to)
        socket = self._find_socket(effect.to)
        if socket is None:
            self._metrics.increment('peers.unknown_address')
            return
        link = self._find_link(effect.to)
        link.note_send(time.monotonic())
        raw = self._codec.encode(
            self._vm, effect.message, link.sent, link.heard
        )
        try:
            socket.send(raw, block=False)
        except pynng.TryAgain:
            self._metrics.increment('peers.dropped')
            return
        self._metrics.increment('peers.messages_sent')
        self._metrics.increment('peers.bytes_sent', len(raw))
        kind = type(effect.message).__name__
        self._metrics.increment(f'peers.bytes_sent.{kind}', len(raw))

    def _find_link(self, vm: VmId) -> Link:
        link = self._links.get(vm)
        if link is None:
            link = Link(int(time.time() * _NUMBERS_PER_S))
            link.acknowledged = link.sent
            self._links[vm] = link
        return link

    def _close_silent(self, vm: VmId) -> None:
        if not self._find_link(vm).is_silent(time.monotonic()):
            return
        socket = self._sockets.pop(vm, None)
        if socket is not None:
            socket.close()
            self._metrics.increment('peers.redialled')

    def _find_socket(self, vm: VmId) -> pynng.Push0 | None:
        socket = self._sockets.get(vm)
        if socket is not None:
            self._sockets.move_to_end(vm)
            return socket
        address = self._addresses.get(vm)
        if address is None:
            # Where no list of VMs exists, a VM is named by its address.
            address = vm if ':' in vm else None
        if address is None:
            return None
        while len(self._sockets) >= MOST_OPEN_SOCKETS:
            self._sockets.popitem(last=False)[1].close()
        socket = _dial(address)
        self._sockets[vm] = socket
        return socket


@contextmanager
def open_peers(
    vm: VmId, address: str, codec: Codec, metrics: Metrics
) -> Iterator[Peers]:
    """Listen for messages of other VMs.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.

    Raises
    ------
    pynng.NNGException
        If the address can't be listened on.

    """
    listener = pynng.Pull0(
        recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
        recv_max_size=LARGEST_MESSAGE_BYTES,
    )
    peers = Peers(vm, listener, codec, metrics)
    try:
        listener.listen(f'tcp://{address}')
        yield peers
    finally:
        peers.close()
        listener.close()


def _dial(address: str) -> pynng.Push0:
    socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
    socket.reconnect_time_min = RECONNECT_MIN_MS
    socket.reconnect_time_max = RECONNECT_MAX_MS
    socket.dial(f'tcp://{address}', block=False)
    return socket


__all__ = ('SILENT_S', 'Link', 'Peers', 'open_peers')
