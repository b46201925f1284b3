"""Pre-vote and election."""

from __future__ import annotations

from .context import Context, Role
from .messages import (
    PreVoteReply,
    RequestPreVote,
    RequestVote,
    StartElection,
    VoteReply,
)

TIMER = 'election'

# Heartbeats come every 0.15 s over links of 30 ms; 0.5 s allows for two lost
# ones. The spread separates candidates by more than a round trip. The largest
# timeout plus a few short retries stays below the 2 s that a new leader may
# take.
SHORTEST_TIMEOUT_S = 0.5
LONGEST_TIMEOUT_S = 0.8
# After a loss of power all replicas start together and nobody leads; a leader
# that is there is protected by the pre-vote.
_EARLIER_AT_START_S = 0.45
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.4


class Elections:
    """Becomes candidate when no leader is heard, and grants votes."""

    def __init__(self, context: Context) -> None:
        """Wait for the first timeout."""
        self._context = context
        self._deadline = float('inf')
        self._timeout = LONGEST_TIMEOUT_S
        self._granted: set[str] = set()

    def start(self, *, restarted: bool = False) -> None:
        """Wait a random time for a leader that may be there.

        Parameters
        ----------
        restarted
            True if the process has just started. It waits less, since the
            pre-vote keeps it from disturbing a leader.

        """
        self._timeout = self._draw_timeout()
        if restarted:
            self._timeout -= _EARLIER_AT_START_S
        self._schedule(self._timeout)

    def handle_timer(self) -> None:
        """Ask for pre-votes if no leader was heard for long enough."""
        context = self._context
        due = self._deadline
        if context.role is Role.follower:
            due = max(due, context.heard_at + self._timeout)
        if context.at < due:
            context.set_timer(TIMER, due)
        elif context.role is not Role.leader and self._may_stand():
            self._ask_pre_votes()
        else:
            self.start()

    def note_vote(self) -> None:
        """Give the candidate that got the vote time to be heard."""
        self._timeout = self._draw_timeout()
        self._deadline = self._context.at + self._timeout

    def receive_pre_vote(self, sender: str, request: RequestPreVote) -> None:
        """Grant a pre-vote unless a leader is heard or the log is older."""
        context = self._context
        granted = (
            request.term > context.term
            and not self._hears_leader()
            and self._is_current(request)
        )
        term = request.term if granted else context.term
        reply = PreVoteReply(term, context.disk, request.disk, granted)
        context.after_sync(lambda: context.send(sender, reply))

    def receive_pre_vote_reply(self, reply: PreVoteReply) -> None:
        """Stand for election once a quorum would vote."""
        context = self._context
        if not reply.granted:
            if reply.term > context.term:
                context.follow(reply.term)
            return
        asked = context.role is Role.pre_candidate
        if asked and reply.term == context.term + 1:
            self._granted.add(reply.disk)
            if context.log.membership.is_quorum(self._granted):
                self._stand(transfer=False)

    def receive_vote_request(self, sender: str, request: RequestVote) -> None:
        """Vote at most once per term, and reply once that is on disk."""
        context = self._context
        if self._hears_leader() and not request.transfer:
            return
        if request.term > context.term:
            context.follow(request.term)
        granted = (
            request.term == context.term
            and context.voted_for in {'', request.disk}
            and self._is_current(request)
        )
        if granted and not context.voted_for:
            context.enter_term(context.term, request.disk)
            self.note_vote()
        reply = VoteReply(context.term, context.disk, request.disk, granted)
        context.after_sync(lambda: context.send(sender, reply))

    def receive_vote(self, reply: VoteReply) -> None:
        """Lead once a quorum has voted."""
        context = self._context
        if reply.term > context.term:
            context.follow(reply.term)
        elif reply.granted and reply.term == context.term:
            self._count_vote(reply.disk, reply.term)

    def receive_start(self, message: StartElection) -> None:
        """Stand at once because the leader hands over."""
        if message.term == self._context.term and self._may_stand():
            self._stand(transfer=True)

    def _ask_pre_votes(self) -> None:
        context = self._context
        context.role = Role.pre_candidate
        context.leader = None
        context.count('pre_votes')
        self._schedule_retry()
        self._granted = {context.disk}
        if context.log.membership.is_quorum(self._granted):
            self._stand(transfer=False)
            return
        for member in context.others():
            if member.voter:
                context.send(member.vm, self._make_pre_vote(member.disk))

    def _make_pre_vote(self, to_disk: str) -> RequestPreVote:
        context = self._context
        return RequestPreVote(
            context.term + 1,
            context.disk,
            to_disk,
            context.log.last_index,
            context.log.last_term,
        )

    def _stand(self, *, transfer: bool) -> None:
        context = self._context
        context.enter_term(context.term + 1, context.disk)
        context.role = Role.candidate
        context.count('elections')
        self._granted = set()
        self._schedule_retry()
        term = context.term
        context.after_sync(lambda: self._ask_votes(term, transfer=transfer))

    def _ask_votes(self, term: int, *, transfer: bool) -> None:
        context = self._context
        if context.term != term or context.role is not Role.candidate:
            return
        for member in context.others():
            if member.voter:
                request = RequestVote(
                    term,
                    context.disk,
                    member.disk,
                    context.log.last_index,
                    context.log.last_term,
                    transfer,
                )
                context.send(member.vm, request)
        self._count_vote(context.disk, term)

    def _count_vote(self, disk: str, term: int) -> None:
        context = self._context
        if context.role is not Role.candidate or context.term != term:
            return
        self._granted.add(disk)
        if context.log.membership.is_quorum(self._granted):
            context.role = Role.leader
            context.leader = context.log.membership.find(context.disk)

    def _may_stand(self) -> bool:
        context = self._context
        initialised = context.term > 0
        return initialised and context.is_voter and not context.stopping

    def _is_current(self, request: RequestPreVote | RequestVote) -> bool:
        log = self._context.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def _hears_leader(self) -> bool:
        context = self._context
        return context.role is Role.leader or (
            context.leader is not None and self._heard_recently()
        )

    def _heard_recently(self) -> bool:
        context = self._context
        return context.at - context.heard_at < SHORTEST_TIMEOUT_S

    def _draw_timeout(self) -> float:
        return self._context.rng.uniform(SHORTEST_TIMEOUT_S, LONGEST_TIMEOUT_S)

    def _schedule_retry(self) -> None:
        self._schedule(
            self._context.rng.uniform(SHORTEST_RETRY_S, LONGEST_RETRY_S)
        )

    def _schedule(self, delay_s: float) -> None:
        self._deadline = self._context.at + delay_s
        self._context.set_timer(TIMER, self._deadline)


__all__ = ('SHORTEST_TIMEOUT_S', 'TIMER', 'Elections')
