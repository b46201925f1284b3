"""Message transport between VMs."""

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
from ..core.effects import Effect, PlacePeer, RegisterPeer, SendMessage
from ..core.events import MessageReceived
from ..core.messages import Message
from ..types import VmId
from .metrics import Metrics

# Messages queued for one peer. Further messages are dropped, because all
# protocols retransmit what they need.
SEND_BUFFER_MESSAGES: Final = 128
RECEIVE_BUFFER_MESSAGES: Final = 1024
# When the limit is reached, the least recently used socket is closed. The
# control leader exchanges messages with all VMs continuously.
MAX_OPEN_SOCKETS: Final = 1024
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 1000
MAX_MESSAGE_BYTES: Final = 16_777_216
# Distance of a VM whose data centre this VM doesn't know.
UNKNOWN_DISTANCE: Final = 'unknown'
# Each message acknowledges the last one received from the other side. This
# detects a connection that loses messages without a reset, even if the
# connection of the opposite direction works. An acknowledgement takes one round
# trip and one poll interval.
ACK_TIMEOUT_S: Final = 1.0
# Upper bound of the messages sent to one VM per second.
_SEQUENCE_NUMBERS_PER_S: Final = 10_000

_logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """Sequence numbers of the messages exchanged with one VM.

    Parameters
    ----------
    last_sent
        Number of the last message sent to the VM. The initial number is
        derived from the wall clock, so that it exceeds the numbers of earlier
        runs of this process.
    last_received
        Number of the last message received from the VM.
    acknowledged
        Highest number that the VM has acknowledged.
    unacknowledged_since
        Start of the acknowledgement timeout; 0 before the first message.

    """

    last_sent: int
    last_received: int = 0
    acknowledged: int = 0
    unacknowledged_since: float = 0

    def record_send(self, now: float) -> None:
        """Record that a message is being sent to the VM."""
        if self.acknowledged >= self.last_sent or not self.unacknowledged_since:
            self.unacknowledged_since = now
        self.last_sent += 1

    def record_receipt(
        self, number: int, acknowledged: int, now: float
    ) -> None:
        """Record the sequence numbers of a received message."""
        self.last_received = number
        # If the clock was set back, the other side may still acknowledge a
        # number of an earlier run that exceeds all numbers of this run.
        if self.acknowledged < acknowledged <= self.last_sent:
            self.acknowledged = acknowledged
            self.unacknowledged_since = now

    def detect_stall(self, now: float) -> bool:
        """Return whether acknowledgements have timed out.

        Restarts the timeout, so that each timeout is reported once.
        """
        waiting = self.acknowledged < self.last_sent and bool(
            self.unacknowledged_since
        )
        if not waiting or now - self.unacknowledged_since < ACK_TIMEOUT_S:
            return False
        self.unacknowledged_since = now
        return True


class Peers:
    """Send and receive messages without a delivery guarantee.

    Parameters
    ----------
    vm
        Name of this VM, sent as the sender of each message.
    listener
        Socket that receives messages from all other VMs.
    codec
        Codec for the envelopes of messages.
    metrics
        Receives counters of messages, bytes and failures.

    """

    def __init__(
        self, vm: VmId, listener: pynng.Pull0, codec: Codec, metrics: Metrics
    ) -> None:
        """Start with no known peers."""
        self._vm = vm
        self._listener = listener
        self._codec = codec
        self._metrics = metrics
        self._addresses: dict[VmId, str] = {}
        self._sockets: OrderedDict[VmId, pynng.Push0] = OrderedDict()
        self._links: dict[VmId, Link] = {}
        self._distances: dict[VmId, str] = {}

    @property
    def address(self) -> str:
        """Address that other VMs connect to, with the port listened on."""
        return str(self._listener.listeners[0].local_address)

    def execute(self, effect: Effect) -> bool:
        """Send a message or register a peer; return False for other effects."""
        if isinstance(effect, SendMessage):
            self._send(effect)
            return True
        if isinstance(effect, RegisterPeer):
            self.register(effect.vm, effect.address)
            return True
        if isinstance(effect, PlacePeer):
            self._distances[effect.vm] = effect.distance
            return True
        return False

    def register(self, vm: VmId, address: str) -> None:
        """Set the address of a VM, closing the socket to a previous address."""
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
        """Receive and dispatch messages until cancelled."""
        while True:
            raw = await self._listener.arecv()
            self._metrics.increment('peers.bytes_received', len(raw))
            decoded = self._codec.decode(raw)
            if decoded.is_error():
                self._metrics.increment('peers.undecodable')
                continue
            envelope = decoded.ok
            self._count('received', envelope.sender, envelope.message, len(raw))
            link = self._get_link(envelope.sender)
            now = time.monotonic()
            link.record_receipt(envelope.sequence, envelope.acknowledged, now)
            dispatch(
                MessageReceived(clock(), envelope.sender, envelope.message)
            )

    def close(self) -> None:
        """Close all sockets to other VMs."""
        while self._sockets:
            self._sockets.popitem()[1].close()

    def _send(self, effect: SendMessage) -> None:
        self._close_stalled(effect.to)
        socket = self._get_socket(effect.to)
        if socket is None:
            self._metrics.increment('peers.unknown_address')
            return
        link = self._get_link(effect.to)
        link.record_send(time.monotonic())
        raw = self._codec.encode(
            self._vm, effect.message, link.last_sent, link.last_received
        )
        try:
            socket.send(raw, block=False)
        except pynng.TryAgain:
            self._metrics.increment('peers.dropped')
            return
        self._metrics.increment('peers.messages_sent')
        self._metrics.increment('peers.bytes_sent', len(raw))
        self._count('sent', effect.to, effect.message, len(raw))

    def _count(
        self, direction: str, vm: VmId, message: Message, size: int
    ) -> None:
        """Count the bytes of a message by its kind and its distance."""
        kind = type(message).__name__
        distance = self._distances.get(vm, UNKNOWN_DISTANCE)
        name = f'peers.bytes_{direction}.{kind}.{distance}'
        self._metrics.increment(name, size)

    def _get_link(self, vm: VmId) -> Link:
        link = self._links.get(vm)
        if link is None:
            link = Link(int(time.time() * _SEQUENCE_NUMBERS_PER_S))
            link.acknowledged = link.last_sent
            self._links[vm] = link
        return link

    def _close_stalled(self, vm: VmId) -> None:
        if not self._get_link(vm).detect_stall(time.monotonic()):
            return
        socket = self._sockets.pop(vm, None)
        if socket is not None:
            socket.close()
            self._metrics.increment('peers.redialled')

    def _get_socket(self, vm: VmId) -> pynng.Push0 | None:
        socket = self._sockets.get(vm)
        if socket is not None:
            self._sockets.move_to_end(vm)
            return socket
        address = self._addresses.get(vm)
        if address is None:
            # Without a configured list of VMs, a VM is named by its address.
            address = vm if ':' in vm else None
        if address is None:
            return None
        while len(self._sockets) >= MAX_OPEN_SOCKETS:
            self._sockets.popitem(last=False)[1].close()
        socket = _dial(address)
        self._sockets[vm] = socket
        return socket


@contextmanager
def open_peers(
    vm: VmId, address: str, codec: Codec, metrics: Metrics
) -> Iterator[Peers]:
    """Listen for messages from other VMs.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 picks a free one.

    Raises
    ------
    pynng.NNGException
        If the address can't be listened on.

    """
    listener = pynng.Pull0(
        recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
        recv_max_size=MAX_MESSAGE_BYTES,
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


__all__ = ('ACK_TIMEOUT_S', 'Link', 'Peers', 'open_peers')
