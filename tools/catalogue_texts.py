"""Advice for every result code and notes for every log event, by name."""

from __future__ import annotations

ERROR_ADVICE: dict[str, str] = {
    "DONE": "Nothing.",
    "MALFORMED_JSON": "Send a body that is JSON.",
    "INVALID_FIELD": "Correct the field that the message names.",
    "BODY_TOO_LARGE": "Send less; the limit is `limits.body_bytes` in the settings.",
    "UNAUTHORISED": "Send a bearer token that the instance's settings list.",
    "UNKNOWN_ROUTE": "Check the route's name against `wigeonpoint route list`.",
    "UNKNOWN_TRANSACTION": "Begin the transaction again; it ended, timed out or was rolled back.",
    "FOREIGN_TRANSACTION": "Send the session token that the transaction was begun with.",
    "INVALID_SESSION_TOKEN": "Begin a new session by sending no token.",
    "REQUEST_ID_CONFLICT": "Use a new request id; this one was used for another statement.",
    "READ_ONLY_VIOLATION": "Send statements that change data with access `write`.",
    "STATEMENT_REJECTED": "Correct the statement; the database refused it.",
    "UNKNOWN_PATH": "Check the path.",
    "METHOD_NOT_ALLOWED": "Check the HTTP method.",
    "TRANSACTION_CONFLICT": "Begin the transaction again; another one changed what it read.",
    "TRANSACTION_SEQUENCE": "Begin the transaction again; an answer or a statement of it was lost.",
    "DEADLINE_UNREACHABLE": "Repeat after `retry_after_ms`, or allow a longer deadline.",
    "QUEUE_FULL": "Repeat after `retry_after_ms`; this rank has more work than the server takes.",
    "NO_PRIMARY": "Repeat; a change of primary takes up to 6 s.",
    "NOT_OWNER": "Repeat; ownership of the backend server is moving.",
    "INSTANCE_STOPPING": "Repeat; the balancer sends the request to another instance.",
    "AGE_NOT_PROVABLE": "Accept older data, or read without `max_age_ms`.",
    "BACKEND_UNREACHABLE": "Repeat; if it lasts, check the backend server.",
    "CONNECTION_LIMIT": "Repeat after `retry_after_ms`; all connections are in use.",
    "RETRY_BUDGET_EXHAUSTED": "Repeat later; the route's retries are limited during a fault.",
    "PEER_UNREACHABLE": "Repeat; the instance in between did not answer.",
    "NOT_PRIMARY": "Repeat; the primary is changing.",
    "MEMBER_BEHIND": "Repeat; no replica has reached the session's position.",
    "NO_CONFIGURATION": "Repeat; the instance has not learnt a configuration yet.",
    "BACKEND_LEAVING": "Repeat; the backend server is leaving.",
    "CANCELLED": "Repeat; the request was withdrawn from the queue before it ran.",
    "TRANSACTION_LOST": "Begin the transaction again; it was rolled back.",
    "CONNECTION_LOST": "Repeat with the same request id to learn the outcome.",
    "CONFIRMATION_TIMEOUT": "Repeat with the same request id to learn the outcome.",
    "PRIMARY_REPLACED": "Repeat with the same request id to learn the outcome.",
    "POSITION_LOST": "Begin a new session; the position it had seen was lost in a failover.",
    "DEADLINE_EXCEEDED": "Repeat with the same request id to learn the outcome.",
    "EDIT_CONFLICT": "Read the row again and repeat the edit.",
    "UNKNOWN_POOL": "Create the pool first, or correct the route's `pool`.",
    "INVALID_ROW": "Correct the row and field that the message names.",
    "UNKNOWN_GROUP": "Check the pool's `group` against the platform's list of backend servers.",
    "UNKNOWN_ROW": "Check the name of the row.",
    "POOL_IN_USE": "Point the routes that the message names at another pool first.",
    "TABLES_INVALID": "Correct the rows that the message names; they were edited in the tables.",
    "EDIT_ID_REUSED": "Use a new edit id for another edit.",
    "STORE_UNAVAILABLE": "Repeat the edit with the same edit id when the platform is back.",
    "CONDITION_FAILED": "Read again and repeat.",
    "SETTINGS_UNREADABLE": "Check the path and permissions of the settings file.",
    "SETTINGS_INVALID": "Correct the fields that the message names.",
    "INTERNAL": "Report it with the log line of event 103.",
}

EVENT_NOTES: dict[str, str] = {
    "INSTANCE_STARTED": "The instance accepts connections.",
    "INSTANCE_STOPPING": "SIGTERM or SIGINT arrived; the instance drains.",
    "INSTANCE_STOPPED": "All requests have finished.",
    "INTERNAL_ERROR": "A fault in the program; report the line.",
    "DRAIN_FINISHED": "Every request and transaction has ended; `waited_s` tells how long it took.",
    "DRAIN_ABORTED": "Requests that were running were cut off; callers repeat their request ids.",
    "CONFIGURATION_APPLIED": "A higher number is in force on this instance.",
    "CONFIGURATION_ACCEPTED": "Rows changed outside the commands were valid and got a number.",
    "CONFIGURATION_REFUSED": "Correct the row and name given; the last accepted state is in force.",
    "CONFIGURATION_CORRECTED": "The rows that had been refused are valid now or gone.",
    "CONFIGURATION_COPY_DAMAGED": "A document or snapshot failed its digest; another copy is used.",
    "EDIT_ACCEPTED": "An edit through this instance got a number.",
    "EDIT_REFUSED": "An edit through this instance was refused; the operator sees the reason.",
    "TABLES_UNREACHABLE": "Edits wait for the platform; statements go on.",
    "TABLES_REACHABLE": "Edits are possible again.",
    "MEMBER_DEAD": "A peer did not answer; its backend servers have new owners.",
    "DIRECTORY_UNAVAILABLE": "The last list stays in use; check the platform.",
    "DIRECTORY_AVAILABLE": "The list is read again.",
    "PRIMARY_UNREACHABLE": "A watcher missed three probes; a promotion follows if others agree.",
    "HANDOVER_STARTED": "The primary is listed as leaving; another member takes over.",
    "TERM_CLAIMED": "This instance claimed a new term in the group's record.",
    "TERM_FENCED": "A majority of members obeys the new term.",
    "CANDIDATE_CHOSEN": "The member with the highest log of the majority will be primary.",
    "MEMBER_PROMOTED": "The candidate is primary; peers are told.",
    "PROMOTION_RESUMED": "Another instance's promotion made no progress and is taken over.",
    "GROUP_STABLE": "A majority follows the new primary.",
    "PROMOTION_FAILED": "A step failed and is tried again; check the platform and the members.",
    "PRIMARY_STALLED": "Another member is promoted; check the primary's links to the members.",
    "HANDOVER_POSTPONED": "Tried again; check the replicas' lag and keep the server until then.",
    "PRIMARY_REACHED_BY_PEER": "Another instance reaches the primary, so none is promoted.",
    "QUEUE_FULL": "A backend server has more work than it takes; see the burn report.",
    "CONNECTION_REFUSED": "Another instance may still hold connections; check it if it lasts.",
    "RETRY_BUDGET_EMPTY": "Too many requests of the route fail; look for the fault behind them.",
    "POSITION_LOST": "A failover lost writes of a pool with durability `primary`.",
    "COMMIT_UNRESOLVED": "A caller was told that a commit's outcome is unknown.",
    "MEMBER_UNREACHABLE": (
        "Work goes to other members; one attempt at a time is made until it answers."
    ),
    "MEMBER_REACHABLE": "The member answers again and gets work.",
    "MEMBER_REFUSED": (
        "The member names another id or service than its entry; check the entry if it lasts."
    ),
    "STATEMENT_REFUSED": (
        "A caller got a refusal; `reason` says why and `retry_after_ms` when to come back."
    ),
    "STATEMENT_IN_DOUBT": (
        "A write or commit was sent and no complete answer came; only the data tell."
    ),
    "STATEMENT_RETRIED": (
        "A member did not run a statement and it is tried again; `fault` says why."
    ),
    "TRANSACTION_ABORTED": "A transaction was rolled back; nothing of it is kept.",
    "MESSAGE_REFUSED": "A message of a caller could not be read; the connection goes on.",
    "STORE_UNREACHABLE": (
        "A call of the store was not answered; the copy of the table stays in use."
    ),
    "STORE_REACHABLE": "The store answers again.",
    "HISTORY_LOST": (
        "The store no longer holds the changes since the copy; the whole table is read."
    ),
    "CATALOGUE_APPLIED": "A new version of routes and services is in force on this instance.",
    "ROW_UNREADABLE": "A row, route or entry cannot be read and names nobody; the others hold.",
    "MEMBERS_CHANGED": "A member has left the directory.",
    "SETTINGS_READ": "The settings file was read after SIGHUP and is valid.",
    "SETTINGS_REFUSED": (
        "The changed settings file is wrong; the process goes on with the old values."
    ),
    "TABLE_COPIED": "The own feed is behind; another instance had newer rows.",
    "REGISTRATION_FAILED": "Tried again; until it succeeds this instance uses no primaries.",
    "PEER_LOST": "Its pings stay unanswered; check the instance if it lasts.",
    "PEER_REGAINED": "The peer answers pings again.",
    "LEASE_LOST": "Neither store nor peers rule out a change of primary; writes are refused.",
    "LEASE_REGAINED": "Writes and current reads are served again.",
    "LEADERSHIP_ADOPTED": "A newer record of a group is obeyed from here on.",
    "REPLACEMENT_STARTED": "This instance arranges a change of primary; `reason` says why.",
    "PROMOTION_CLAIMED": "The store has the claim; `token` is the fencing token of the calls.",
    "CLAIM_UNCONFIRMED": "The claimant waits until the others can no longer use the old primary.",
    "PRIMARY_PROMOTED": "`seconds` counts from the claim.",
    "PRIMARY_DEMOTED": "`confirmed` is false when the replaced primary does not answer.",
    "INSTANCE_DEREGISTERED": (
        "Nobody had heard of it for seconds; it registers again when it returns."
    ),
    "MEMBERS_SUSPENDED": "Stands in for an instance that did not confirm a claim.",
    "HANDOVER_ENDED": (
        "The successor leads, or the change was given up. `unconfirmed` answers are in doubt. With "
        "`stalled`, the successor received no commits."
    ),
    "METRICS_UNAVAILABLE": "The address is in use or wrong; callers are served all the same.",
    "STATEMENT_SLOW": "It was served, in `ms` against the route's `target_ms`.",
}
