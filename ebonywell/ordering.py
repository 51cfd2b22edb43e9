"""Sends orders to model engines while this host holds the lease."""

from dataclasses import dataclass, field

from .clock import boot_time
from .digests import ResidentMessage
from .engineorders import (
    EngineClient,
    EngineOrder,
    OrderAnswer,
    OrderTrack,
    present_adapters,
)
from .evacuation.zones import Evacuations
from .exceptions import TransportError
from .inventory import KnownTarget
from .leadership import Leadership
from .logs import Logger
from .orders import Action
from .targetlimits import MAX_PERMIT_WAIT_S, TargetLimits

ACCEPTED_ANSWERS = frozenset((OrderAnswer.accepted, OrderAnswer.held))


@dataclass(slots=True, frozen=True)
class UnansweredOrders:
    """Orders to one life of a target that may be executed late.

    Attributes
    ----------
    life : (str, int)
        Incarnation of the target.
    fence : int
    counts : set of int
        The numbers of previous orders that they name.
    """

    life: tuple[str, int]
    fence: int
    counts: set[int] = field(default_factory=set)


@dataclass(slots=True)
class OrderSender:
    """Sends orders to engines and records the accepted ones.

    Each order carries the number of orders before it, and an engine rejects
    the order if its own count differs. Thus an order whose answer was lost and
    that is executed late never reaches an engine that holds more than was
    assumed when the order was decided.

    Attributes
    ----------
    name : str
        Name of this host.
    leadership : Leadership
    client : EngineClient
    limits : TargetLimits
        Orders and reports count as requests to their engine.
    tracks : dict of str to OrderTrack
        Order records by target.
    evacuations : Evacuations
        Zones whose engines get neither orders nor questions.
    unanswered : dict of str to UnansweredOrders
        By target, under the newest fencing number of which there are any.
    """

    name: str
    leadership: Leadership
    client: EngineClient
    limits: TargetLimits
    log: Logger
    tracks: dict[str, OrderTrack] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    unanswered: dict[str, UnansweredOrders] = field(default_factory=dict)

    def track(self, known: KnownTarget) -> OrderTrack:
        """Return the order record of a target's current incarnation.

        Each lease starts a new record. A lease that was only raised does not.
        """
        fence = self.leadership.state.fence
        raised_from = self.leadership.state.raised_from
        track = self.tracks.get(known.name)
        if fence and raised_from and track is not None:
            if track.fence == raised_from:
                track.fence = fence
        if track is None or (track.life, track.fence) != (
            known.incarnation,
            fence,
        ):
            track = OrderTrack(known.incarnation, fence)
            self.tracks[known.name] = track
        return track

    async def refresh(self, known: KnownTarget) -> bool:
        """Poll a target and update its order record.

        Returns
        -------
        bool
            Whether the report reflects all known orders and the target is not
            executing an order for a model.
        """
        track = self.track(known)
        if not await self._claim(known):
            return False
        try:
            report = await self.client.report(known)
        except TransportError as error:
            self.log('report_missing', target=known.name, why=str(error))
            if not error.is_sent:
                known.refused_at = boot_time()
            return False
        self.log('report_read', target=known.name, orders=report.order_count)
        if report.born != known.announcement.born:
            return False
        if report.order_count < max(known.order_count, track.order_count):
            return False
        known.confirm(report.order_count, report.models, boot_time())
        if self.track(known) is not track:
            return False
        track.order_count = report.order_count
        track.adapters = present_adapters(report)
        track.is_synced = True
        return not report.is_busy

    async def order(
        self,
        known: KnownTarget,
        track: OrderTrack,
        action: Action,
        model: str,
        adapter: str = '',
    ) -> OrderAnswer:
        """Send an order if the lease permits it, and return its outcome.

        Parameters
        ----------
        known : KnownTarget
        track : OrderTrack
            The record from which the order was decided; the caller holds its
            lock. If the record has been replaced in the meantime, the order
            is not sent.
        action : Action
        model, adapter : str
        """
        is_permitted = await self._claim(known)
        if not is_permitted or self.track(known) is not track:
            return OrderAnswer.unproven
        if self._may_meet_earlier_life(known, track):
            return OrderAnswer.unproven
        avoids_store = (
            action is not Action.load
            or model in known.announcement.cached_weights
        )
        is_allowed = (
            self.leadership.may_order_cached()
            if avoids_store
            else self.leadership.may_order()
        )
        if not is_allowed:
            return OrderAnswer.unproven
        order = EngineOrder(
            action,
            model,
            adapter,
            track.order_count,
            self.name,
            self.leadership.state.fence,
        )
        self.leadership.note_order()
        answer = await self.client.order(known, order)
        self.leadership.note_order()
        _note_answer(known, track, order, answer)
        if answer is OrderAnswer.unreachable:
            known.refused_at = boot_time()
        if answer is OrderAnswer.unknown:
            self._note_unanswered(known, order)
        if answer is OrderAnswer.fenced:
            self._note_fenced(order)
        self.log(
            'order_given',
            target=known.name,
            action=action.value,
            model=model,
            adapter=adapter or None,
            after=order.order_count,
            fence=order.fence,
            answer=answer.value,
        )
        return answer

    def _note_unanswered(self, known: KnownTarget, order: EngineOrder) -> None:
        """Record that an order may be executed late."""
        found = self.unanswered.get(known.name)
        key = (known.incarnation, order.fence)
        if found is None or (found.life, found.fence) != key:
            found = UnansweredOrders(*key)
            self.unanswered[known.name] = found
        found.counts.add(order.order_count)

    def _may_meet_earlier_life(
        self, known: KnownTarget, track: OrderTrack
    ) -> bool:
        """Return whether an order would let one to an earlier life through.

        The counts of a target's lives don't tell them apart, but a target that
        has had an order with a newer fencing number rejects it. The next
        renewal brings one; orders wait for it only if it is needed now.
        """
        earlier = self.unanswered.get(known.name)
        if earlier is None or earlier.life == known.incarnation:
            return False
        state = self.leadership.state
        if earlier.fence != state.fence or not state.is_fenced:
            return False
        state.request_raise()
        return track.order_count + 1 in earlier.counts

    def _note_fenced(self, order: EngineOrder) -> None:
        """Record that a target has had an order with a newer number."""
        if order.fence == self.leadership.state.fence:
            self.leadership.state.note_lost()

    async def _claim(self, known: KnownTarget) -> bool:
        """Wait until an engine may be sent something; return whether it may."""
        is_permitted = await self.limits.claim(known, MAX_PERMIT_WAIT_S)
        return is_permitted and not self.evacuations.is_evacuated(known)


def resident_message(known: KnownTarget) -> ResidentMessage:
    """Return the message that informs other hosts of what a target holds."""
    return ResidentMessage(
        known.name,
        known.announcement.born,
        known.order_count,
        {
            model: tuple(resident.adapters)
            for model, resident in known.models.items()
        },
    )


def _note_answer(
    known: KnownTarget,
    track: OrderTrack,
    order: EngineOrder,
    answer: OrderAnswer,
) -> None:
    name = f'{order.model}/{order.adapter}'
    if not _is_counted(order.action, answer):
        # The engine may have accepted orders that are not in this record.
        track.is_synced = answer is OrderAnswer.held
        return
    track.order_count = order.order_count + 1
    known.order_count = max(known.order_count, track.order_count)
    if order.action is Action.load_adapter:
        track.adapters.add(name)
    elif answer is OrderAnswer.held:
        track.adapters.discard(name)
    else:
        # A model or adapter in use is unloaded when its requests have ended.
        track.is_synced = False


def _is_counted(action: Action, answer: OrderAnswer) -> bool:
    """Return whether an engine counts an order as accepted.

    An engine unloads an unused adapter before it answers, and then answers
    `held` although it counts the order.
    """
    if answer is OrderAnswer.held:
        return action is Action.unload_adapter
    return answer is OrderAnswer.accepted
