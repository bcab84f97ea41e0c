"""Numbered log events and the function that logs them.

Hundreds group the numbers: 1xx process, 2xx configuration, 3xx membership, 4xx database groups,
5xx owners and connections, 6xx requests.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import Any

_LOGGER = logging.getLogger("wigeonpoint")


class Event(Enum):
    """A log event with its number, level and sentence."""

    INSTANCE_STARTED = (100, logging.INFO, "instance started")
    INSTANCE_STOPPING = (101, logging.INFO, "graceful shutdown started")
    INSTANCE_STOPPED = (102, logging.INFO, "instance stopped")
    INTERNAL_ERROR = (103, logging.ERROR, "unexpected error")
    DRAIN_FINISHED = (104, logging.INFO, "graceful shutdown has finished all requests")
    DRAIN_ABORTED = (105, logging.WARNING, "second signal: stopping without finishing requests")
    SETTINGS_READ = (106, logging.INFO, "settings file read again")
    SETTINGS_REFUSED = (107, logging.WARNING, "changed settings file is invalid and not used")
    METRICS_UNAVAILABLE = (108, logging.ERROR, "metrics cannot be served")

    SLOW_MESSAGE_ENDED = (109, logging.WARNING, "a message stopped arriving while others waited")
    UNREAD_REPLY_DROPPED = (110, logging.WARNING, "a caller did not take its reply")
    CONNECTIONS_FULL = (111, logging.WARNING, "no room for a new connection without closing one")
    MESSAGE_LATE = (112, logging.WARNING, "a message did not arrive whole in time")
    SESSION_MEMORY_FULL = (113, logging.WARNING, "values of sessions hold too much memory")
    ANSWER_TOO_LARGE = (114, logging.WARNING, "an answer is too large to be kept")

    MEMBER_DEAD = (300, logging.WARNING, "an instance was declared dead")
    DIRECTORY_UNAVAILABLE = (301, logging.WARNING, "the platform's list cannot be read")
    PEER_LOST = (303, logging.WARNING, "a peer does not answer")
    PEER_REGAINED = (304, logging.INFO, "a peer answers again")
    LEASE_LOST = (305, logging.WARNING, "no valid lease: primaries may not be used")
    LEASE_REGAINED = (306, logging.INFO, "lease is valid: primaries may be used")
    INSTANCE_DEREGISTERED = (307, logging.WARNING, "unreachable instance deregistered")
    RELAY_UNAVAILABLE = (308, logging.INFO, "a relay does not answer or refuses; using others")
    RELAY_MESSAGE_LOST = (309, logging.INFO, "a relay was not told that a transaction has ended")
    QUOTA_ALLOCATOR_CLAIMED = (320, logging.INFO, "this instance divides the customers' quotas")
    QUOTA_ALLOCATOR_COMPLETE = (321, logging.INFO, "the allocator knows all allowances in force")
    QUOTA_ALLOCATOR_REPLACED = (322, logging.INFO, "another allocator divides the quotas")
    QUOTA_ALLOCATOR_LOST = (323, logging.WARNING, "the allocator of the quotas does not answer")
    QUOTA_ALLOCATOR_REGAINED = (324, logging.INFO, "the allocator of the quotas answers")
    MEMBER_LEAVING = (310, logging.INFO, "a member has announced its shutdown")
    DIRECTORY_AVAILABLE = (302, logging.INFO, "the platform's list can be read again")

    KEYS_REVOKED = (222, logging.INFO, "keys were taken away from callers with open sessions")
    KEYS_NEEDED = (223, logging.INFO, "routes that are not public need a key from now on")
    KEYS_UNCERTAIN = (224, logging.WARNING, "keys may have been taken away unnoticed")
    KEYS_CERTAIN = (225, logging.INFO, "keys are known to be valid again")
    CONFIGURATION_APPLIED = (200, logging.INFO, "new configuration state is active")
    CONFIGURATION_ACCEPTED = (201, logging.INFO, "rows edited in the tables accepted")
    CONFIGURATION_REFUSED = (202, logging.WARNING, "rows edited in the tables refused")
    CONFIGURATION_CORRECTED = (203, logging.INFO, "refused rows corrected or removed")
    CONFIGURATION_COPY_DAMAGED = (204, logging.WARNING, "configuration copy is damaged")
    EDIT_ACCEPTED = (205, logging.INFO, "edit accepted")
    EDIT_REFUSED = (206, logging.INFO, "edit refused")
    TABLE_COPIED = (216, logging.INFO, "newer copy of a table adopted from a peer")
    REGISTRATION_FAILED = (217, logging.WARNING, "the instance's registration was not written")
    TABLES_UNREACHABLE = (207, logging.WARNING, "table service unreachable")
    TABLES_REACHABLE = (208, logging.INFO, "table service reachable again")

    PRIMARY_UNREACHABLE = (400, logging.WARNING, "primary of a group is unreachable")
    HANDOVER_STARTED = (401, logging.INFO, "primary is leaving; handover started")
    TERM_CLAIMED = (402, logging.INFO, "term claimed")
    TERM_FENCED = (403, logging.INFO, "a majority of members accepted the term")
    CANDIDATE_CHOSEN = (404, logging.INFO, "candidate chosen")
    MEMBER_PROMOTED = (405, logging.INFO, "member promoted to primary")
    PROMOTION_RESUMED = (406, logging.WARNING, "stalled promotion resumed")
    GROUP_STABLE = (407, logging.INFO, "group is stable in a new term")
    PROMOTION_FAILED = (408, logging.WARNING, "step of a promotion failed")
    PRIMARY_REACHED_BY_PEER = (409, logging.INFO, "another instance reaches the primary")
    PRIMARY_STALLED = (410, logging.WARNING, "primary is reachable but no majority follows it")
    HANDOVER_POSTPONED = (411, logging.WARNING, "no replica caught up; handover postponed")
    LEADERSHIP_ADOPTED = (412, logging.INFO, "newer record of a group adopted")
    REPLACEMENT_STARTED = (413, logging.INFO, "the primary of a group is to be replaced")
    PROMOTION_CLAIMED = (414, logging.INFO, "change of primary claimed")
    CLAIM_UNCONFIRMED = (415, logging.WARNING, "not all instances confirmed the claim")
    PRIMARY_PROMOTED = (416, logging.INFO, "member became the new primary")
    PRIMARY_DEMOTED = (417, logging.INFO, "the replaced primary was told to become a replica")
    MEMBERS_SUSPENDED = (418, logging.INFO, "members accept the new term only")
    HANDOVER_ENDED = (419, logging.INFO, "statements at the leaving primary have ended")
    LEADERSHIP_RESTORED = (420, logging.WARNING, "lost record of a primary is written again")
    REPLACEMENT_DELAYED = (421, logging.WARNING, "a leaving or missing primary is not replaced yet")
    REPLICAS_SILENT = (422, logging.WARNING, "replicas were slow to tell what they received")
    PROMOTION_OUTSTANDING = (
        423,
        logging.WARNING,
        "a claimed candidate is silent and may still be promoted",
    )
    PRIMARY_UNRECORDED = (
        424,
        logging.WARNING,
        "a member leads its group and no record names it",
    )
    MEMBERS_NOT_NOTED = (
        425,
        logging.WARNING,
        "the store does not hold yet which members are leaving or lapsed",
    )
    MEMBERS_RESUMED = (426, logging.INFO, "suspended members receive again without a promotion")
    RETRY_BUDGET_EMPTY = (600, logging.WARNING, "retry budget of the route is exhausted")
    POSITION_LOST = (601, logging.ERROR, "a session requires a position that no log contains")
    COMMIT_UNRESOLVED = (602, logging.WARNING, "the outcome of a commit could not be resolved")

    QUEUE_FULL = (500, logging.WARNING, "owner queue is full; refusing its heaviest caller")
    CONNECTION_REFUSED = (501, logging.WARNING, "backend server refused a connection; retrying")
    MEMBER_UNREACHABLE = (502, logging.WARNING, "no connection to the member could be opened")
    MEMBER_REACHABLE = (503, logging.INFO, "the member accepts connections again")
    MEMBER_REFUSED = (504, logging.WARNING, "the member refused the connection")
    MEMBER_EJECTED = (510, logging.WARNING, "the member gets no reads for a while")
    MEMBER_READMITTED = (511, logging.INFO, "the member gets reads again")
    REMOTE_READS_STARTED = (512, logging.INFO, "some reads leave the data centre")
    REMOTE_READS_ENDED = (513, logging.INFO, "reads stay in the data centre again")
    STATEMENT_REFUSED = (603, logging.INFO, "statement refused")
    STATEMENT_IN_DOUBT = (604, logging.WARNING, "the outcome of a statement is not known")
    STATEMENT_RETRIED = (605, logging.INFO, "statement is retried")
    RELAYED_STATEMENT_FAILED = (609, logging.INFO, "statement of another instance failed here")
    STATEMENT_SLOW = (608, logging.INFO, "statement took longer than the route's objective")
    QUOTA_EXCEEDED = (615, logging.INFO, "operations of a customer exceed its quota")
    TRANSACTION_ABORTED = (606, logging.INFO, "transaction rolled back")
    MESSAGE_REFUSED = (607, logging.INFO, "a caller's message cannot be read")

    SESSION_REFUSED = (610, logging.INFO, "a session was not opened")
    SESSION_REVOKED = (611, logging.INFO, "a session was ended, its key was taken away")

    STORE_UNREACHABLE = (210, logging.WARNING, "the platform's store does not answer")
    STORE_REACHABLE = (211, logging.INFO, "the platform's store answers again")
    HISTORY_LOST = (212, logging.INFO, "the store has dropped old changes; reading the whole table")
    CATALOGUE_APPLIED = (213, logging.INFO, "new routes and services are active")
    ROW_UNREADABLE = (214, logging.WARNING, "a row of the store cannot be read and is ignored")
    MEMBERS_CHANGED = (215, logging.INFO, "member removed from the directory")
    STORE_RESTORED = (218, logging.WARNING, "the platform's store was restored from an older copy")
    REISSUE_UNCONFIRMED = (221, logging.INFO, "a lower version in the store waits to be read again")
    COPY_FAILED = (220, logging.INFO, "a newer copy of a table could not be fetched from a peer")
    CHANGE_WATCH_FAILED = (219, logging.INFO, "a peer no longer tells of changes of a table")

    def __init__(self, number: int, level: int, sentence: str) -> None:
        self.number = number
        self.level = level
        self.sentence = sentence


def log_event(event: Event, **fields: Any) -> None:
    """Logs an event with its number and fields.

    Args:
        event: The event.
        fields: Further JSON fields of the log line.
    """
    if _LOGGER.isEnabledFor(event.level):
        _LOGGER.log(event.level, event.sentence, extra={"event": event.number, **fields})
