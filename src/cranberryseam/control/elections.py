"""Pre-votes and elections."""

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

# Heartbeats are sent every 0.15 s over links with a latency of 30 ms, so 0.5 s
# tolerates two lost ones. The random range separates candidates by more than a
# round trip. The longest timeout plus a few short retries stays below the limit
# of 2 s for electing a new leader.
MIN_ELECTION_TIMEOUT_S = 0.5
MAX_ELECTION_TIMEOUT_S = 0.8
# After a power failure all replicas start at the same time without a leader, so
# the first election may start earlier. The pre-vote protects an existing
# leader.
_STARTUP_TIMEOUT_REDUCTION_S = 0.45
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.4


class Elections:
    """Starts elections when there is no leader, and grants votes."""

    def __init__(self, context: Context) -> None:
        """Wait for the first timeout."""
        self._context = context
        self._deadline = float('inf')
        self._timeout_s = MAX_ELECTION_TIMEOUT_S
        self._granted_by: set[str] = set()

    def start(self, *, process_started: bool = False) -> None:
        """Start the election timeout.

        Parameters
        ----------
        process_started
            True if the process has just started. The timeout is shorter then;
            the pre-vote prevents this from disturbing an existing leader.

        """
        self._timeout_s = self._draw_timeout()
        if process_started:
            self._timeout_s -= _STARTUP_TIMEOUT_REDUCTION_S
        self._schedule(self._timeout_s)

    def handle_timer(self) -> None:
        """Request pre-votes if the election timeout has expired."""
        context = self._context
        due_at = self._deadline
        if context.role is Role.follower:
            due_at = max(due_at, context.leader_heard_at + self._timeout_s)
        if context.now < due_at:
            context.set_timer(TIMER, due_at)
        elif context.role is not Role.leader and self._may_start_election():
            self._request_pre_votes()
        else:
            self.start()

    def postpone_election(self) -> None:
        """Restart the timeout so that the elected candidate can take over."""
        self._timeout_s = self._draw_timeout()
        self._deadline = self._context.now + self._timeout_s

    def receive_pre_vote(self, sender: str, request: RequestPreVote) -> None:
        """Grant a pre-vote unless there is a leader or the log is older."""
        context = self._context
        granted = (
            request.term > context.term
            and not self._has_live_leader()
            and self._has_current_log(request)
        )
        term = request.term if granted else context.term
        reply = PreVoteReply(term, context.disk, request.disk, granted)
        context.run_after_sync(lambda: context.send(sender, reply))

    def receive_pre_vote_reply(self, reply: PreVoteReply) -> None:
        """Start an election once a quorum has granted pre-votes."""
        context = self._context
        if not reply.granted:
            if reply.term > context.term:
                context.become_follower(reply.term)
            return
        is_pre_candidate = context.role is Role.pre_candidate
        if is_pre_candidate and reply.term == context.term + 1:
            self._granted_by.add(reply.disk)
            if context.log.membership.is_quorum(self._granted_by):
                self._start_election(transfer=False)

    def receive_vote_request(self, sender: str, request: RequestVote) -> None:
        """Vote at most once per term, and reply once the vote is on disk."""
        context = self._context
        if self._has_live_leader() and not request.transfer:
            return
        if request.term > context.term:
            context.become_follower(request.term)
        granted = (
            request.term == context.term
            and context.voted_for in {'', request.disk}
            and self._has_current_log(request)
        )
        if granted and not context.voted_for:
            context.enter_term(context.term, request.disk)
            self.postpone_election()
        reply = VoteReply(context.term, context.disk, request.disk, granted)
        context.run_after_sync(lambda: context.send(sender, reply))

    def receive_vote(self, reply: VoteReply) -> None:
        """Become leader once a quorum has granted its votes."""
        context = self._context
        if reply.term > context.term:
            context.become_follower(reply.term)
        elif reply.granted and reply.term == context.term:
            self._count_vote(reply.disk, reply.term)

    def receive_start_election(self, message: StartElection) -> None:
        """Start an election immediately, as the leader transfers its role."""
        if message.term == self._context.term and self._may_start_election():
            self._start_election(transfer=True)

    def _request_pre_votes(self) -> None:
        context = self._context
        context.role = Role.pre_candidate
        context.leader = None
        context.increment_counter('pre_votes')
        self._schedule_retry()
        self._granted_by = {context.disk}
        if context.log.membership.is_quorum(self._granted_by):
            self._start_election(transfer=False)
            return
        for member in context.other_members():
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

    def _start_election(self, *, transfer: bool) -> None:
        context = self._context
        context.enter_term(context.term + 1, context.disk)
        context.role = Role.candidate
        context.increment_counter('elections')
        self._granted_by = set()
        self._schedule_retry()
        term = context.term
        context.run_after_sync(
            lambda: self._request_votes(term, transfer=transfer)
        )

    def _request_votes(self, term: int, *, transfer: bool) -> None:
        context = self._context
        if context.term != term or context.role is not Role.candidate:
            return
        for member in context.other_members():
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
        self._granted_by.add(disk)
        if context.log.membership.is_quorum(self._granted_by):
            context.role = Role.leader
            context.leader = context.log.membership.find(context.disk)

    def _may_start_election(self) -> bool:
        context = self._context
        initialised = context.term > 0
        return initialised and context.is_voter and not context.stopping

    def _has_current_log(self, request: RequestPreVote | RequestVote) -> bool:
        log = self._context.log
        candidate_position = (request.last_term, request.last_index)
        return candidate_position >= (log.last_term, log.last_index)

    def _has_live_leader(self) -> bool:
        context = self._context
        return context.role is Role.leader or (
            context.leader is not None and self._leader_heard_recently()
        )

    def _leader_heard_recently(self) -> bool:
        context = self._context
        return context.now - context.leader_heard_at < MIN_ELECTION_TIMEOUT_S

    def _draw_timeout(self) -> float:
        return self._context.rng.uniform(
            MIN_ELECTION_TIMEOUT_S, MAX_ELECTION_TIMEOUT_S
        )

    def _schedule_retry(self) -> None:
        self._schedule(
            self._context.rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        )

    def _schedule(self, delay_s: float) -> None:
        self._deadline = self._context.now + delay_s
        self._context.set_timer(TIMER, self._deadline)


__all__ = ('MIN_ELECTION_TIMEOUT_S', 'TIMER', 'Elections')
