"""What lives for a connection: sessions, peer channels and backend connections."""

from __future__ import annotations

from wigeonpoint.connection._backend_pool import BackendPool
from wigeonpoint.connection._messages import (
    Acknowledgement,
    BeginMessage,
    BeginReply,
    CancelMessage,
    CancelReply,
    CommitMessage,
    ExecuteMessage,
    ExecuteReply,
    RollbackMessage,
    StatementMessage,
    WorkDetails,
)
from wigeonpoint.connection._peers import (
    PEER_KEY_HEADER,
    PeerChannels,
    PeerDispatcher,
    PeerTransport,
)
from wigeonpoint.connection._session_token import Session, SessionTokens
from wigeonpoint.connection._signing import TokenSigner
from wigeonpoint.connection._transaction_id import TransactionId, TransactionIds
from wigeonpoint.connection._transactions import OpenTransaction, Transactions

__all__ = [
    "PEER_KEY_HEADER",
    "Acknowledgement",
    "BackendPool",
    "BeginMessage",
    "BeginReply",
    "CancelMessage",
    "CancelReply",
    "CommitMessage",
    "ExecuteMessage",
    "ExecuteReply",
    "OpenTransaction",
    "PeerChannels",
    "PeerDispatcher",
    "PeerTransport",
    "RollbackMessage",
    "Session",
    "SessionTokens",
    "StatementMessage",
    "TokenSigner",
    "TransactionId",
    "TransactionIds",
    "Transactions",
    "WorkDetails",
]
