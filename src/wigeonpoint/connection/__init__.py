"""Sessions, transactions, channels between instances and pools of backend connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wigeonpoint._lazy import lazy_exports
from wigeonpoint.connection._peers import (
    PEER_KEY_HEADER,
    PeerChannels,
    PeerDispatcher,
    PeerTransport,
)

if TYPE_CHECKING:
    from wigeonpoint.connection._backend_pool import BackendPool
    from wigeonpoint.connection._configuration_messages import (
        AnnounceConfigurationMessage,
        ConfigurationNumberReply,
        FetchConfigurationMessage,
        FetchConfigurationReply,
        StatusMessage,
        StatusReply,
    )
    from wigeonpoint.connection._messages import (
        Acknowledgement,
        AnnouncePrimaryMessage,
        BeginMessage,
        BeginReply,
        CancelMessage,
        CancelReply,
        CommitMessage,
        ExecuteMessage,
        FetchHistoryMessage,
        FetchHistoryReply,
        PauseWritesMessage,
        ProbeMemberMessage,
        ProbeMemberReply,
        RequestContext,
        RollbackMessage,
        SamplePositionMessage,
        SamplePositionReply,
        SettleMessage,
        StatementMessage,
    )
    from wigeonpoint.connection._session_token import Session, SessionTokens
    from wigeonpoint.connection._signing import TokenSigner
    from wigeonpoint.connection._statement_sequence import StatementSequence
    from wigeonpoint.connection._transaction_id import TransactionId, TransactionIds
    from wigeonpoint.connection._transactions import (
        TRANSACTION_IDLE_TIMEOUT_S,
        OpenTransaction,
        Transactions,
    )

_MODULES = {
    "wigeonpoint.connection._backend_pool": ("BackendPool",),
    "wigeonpoint.connection._configuration_messages": (
        "AnnounceConfigurationMessage",
        "ConfigurationNumberReply",
        "FetchConfigurationMessage",
        "FetchConfigurationReply",
        "StatusMessage",
        "StatusReply",
    ),
    "wigeonpoint.connection._messages": (
        "Acknowledgement",
        "AnnouncePrimaryMessage",
        "BeginMessage",
        "BeginReply",
        "CancelMessage",
        "CancelReply",
        "CommitMessage",
        "ExecuteMessage",
        "FetchHistoryMessage",
        "FetchHistoryReply",
        "PauseWritesMessage",
        "ProbeMemberMessage",
        "ProbeMemberReply",
        "RollbackMessage",
        "SamplePositionMessage",
        "SamplePositionReply",
        "SettleMessage",
        "StatementMessage",
        "RequestContext",
    ),
    "wigeonpoint.connection._session_token": (
        "Session",
        "SessionTokens",
    ),
    "wigeonpoint.connection._signing": ("TokenSigner",),
    "wigeonpoint.connection._statement_sequence": ("StatementSequence",),
    "wigeonpoint.connection._transaction_id": (
        "TransactionId",
        "TransactionIds",
    ),
    "wigeonpoint.connection._transactions": (
        "TRANSACTION_IDLE_TIMEOUT_S",
        "OpenTransaction",
        "Transactions",
    ),
}
__getattr__ = lazy_exports(__name__, _MODULES)

__all__ = [
    "PEER_KEY_HEADER",
    "Acknowledgement",
    "AnnounceConfigurationMessage",
    "AnnouncePrimaryMessage",
    "BackendPool",
    "BeginMessage",
    "BeginReply",
    "CancelMessage",
    "CancelReply",
    "CommitMessage",
    "ConfigurationNumberReply",
    "ExecuteMessage",
    "FetchConfigurationMessage",
    "FetchConfigurationReply",
    "OpenTransaction",
    "PeerChannels",
    "PeerDispatcher",
    "PeerTransport",
    "FetchHistoryMessage",
    "FetchHistoryReply",
    "PauseWritesMessage",
    "ProbeMemberMessage",
    "ProbeMemberReply",
    "SettleMessage",
    "RollbackMessage",
    "SamplePositionMessage",
    "SamplePositionReply",
    "Session",
    "SessionTokens",
    "StatementMessage",
    "StatementSequence",
    "StatusMessage",
    "StatusReply",
    "TokenSigner",
    "TRANSACTION_IDLE_TIMEOUT_S",
    "TransactionId",
    "TransactionIds",
    "Transactions",
    "RequestContext",
]
