"""A target's admission for requests that their first nodes have admitted."""

from sassafras_policy.admission import concurrency
from sassafras_policy.admission import policies
from sassafras_policy.admission import priorities
from sassafras_policy.admission import room
from sassafras_policy.calls import messages
from sassafras_policy.calls import reports

# A cut of the limit is kept if it costs at most this part of the throughput.
_MAX_THROUGHPUT_LOSS = 0.1
# On machines whose speed changes several times a second, latency rises without
# a queue, and a trial after each rise cost a twelfth of the throughput.
_TRIAL_BACKOFF_S = 0.5


@policies.admission_policies.register("deadline")
class ByDeadline(policies.Adaptive):
    """Lets calls wait as long as they can still be served in time.

    It reports its room, so that first nodes admit no more requests than fit.
    The queue is short then, and a call that still has to wait belongs to a
    request for which work has been done.
    """

    def __init__(self, slots: int, scale: priorities.PriorityScale) -> None:
        super().__init__(slots, scale)
        self._meter = room.RoomMeter()

    def _make_limit(self, slots: int) -> concurrency.Limit:
        return concurrency.ConcurrencyLimit(
            slots,
            trial_success_share=1.0 - _MAX_THROUGHPUT_LOSS,
            trial_backoff_s=_TRIAL_BACKOFF_S,
            # Room is measured against the limit, which would not rise before
            # requests had been refused for it.
            initial_share=1.0,
        )

    def room(self, now: float) -> reports.Room:
        """See AdmissionPolicy."""
        return self._meter.room(self.limit, len(self._queue), now)

    def decide(
        self, context: messages.CallContext, now: float
    ) -> policies.Decision:
        """See AdmissionPolicy."""
        self._meter.record_arrival(context.part, now)
        return super().decide(context, now)

    def finished(self, latency_s: float, success: bool, now: float) -> None:
        """See AdmissionPolicy."""
        self._meter.record_response(latency_s)
        super().finished(latency_s, success, now)

    def _refuses(self, context: messages.CallContext, level: int) -> bool:
        """See Adaptive.

        The level follows the mean wait of all calls. A call that would be the
        next to get a slot does not wait for that long: with a queue of the
        least important calls, the level refused the most important ones.
        """
        return not self._queue.would_lead(
            self._queue_class(context)
        ) and super()._refuses(context, level)

    def _queue_class(self, context: messages.CallContext) -> int:
        """See Adaptive.

        Classes have been told apart when the request was admitted. In their
        order here, most requests of the least important class failed at one of
        their calls, after work had been done for them.
        """
        if not context.priority:
            return 0
        return 1 if context.depth else context.priority + 1

    def _max_wait_s(self, context: messages.CallContext, now: float) -> float:
        """See Adaptive."""
        return max(0.0, context.deadline - now - self._meter.latency_s)
