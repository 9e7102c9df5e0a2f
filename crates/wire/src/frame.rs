//! Messages between processes.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Error, exchange, job, request::Verdict, session};

use crate::{End, Failure, Tombstone, delta, graph, heartbeat, peer, request, response, section};

/// A message between processes of the system.
///
/// The cell owner is the entry that schedules the batch jobs of a cell. The owner is the one that
/// schedules job graphs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to companion: start of a request.
    Request(request::Head),
    /// Companion to entry: start of a response.
    Response(response::Head),
    /// A chunk of a request or response body.
    Body(Bytes),
    /// End of a request or response.
    End(End),
    /// Companion to entry: the request has no response, or its response is incomplete.
    Failure(Failure),
    /// Entry to companion: refuse a request from now on unless it has started.
    Tombstone(Tombstone),
    /// Companion to entry: execution state of the request that was to be tombstoned.
    Verdict(Verdict),
    /// Companion to entry: state of the worker.
    Heartbeat(heartbeat::Heartbeat),
    /// Entry to companion: reply to a heartbeat.
    HeartbeatReply(heartbeat::Reply),
    /// Any process to another: request for newer sections.
    SectionQuery(section::Query),
    /// Reply to a section query.
    SectionReply(section::Reply),
    /// Companion to cell owner: state of its tasks.
    Report(exchange::Report),
    /// Cell owner to companion: reply to a report.
    Command(exchange::Command),
    /// Entry to cell owner: a call about jobs.
    Job(job::Call),
    /// Cell owner to entry: reply to a call about jobs.
    JobReply(job::Reply),
    /// Entry to entry: state of the sender.
    Peer(peer::Status),
    /// Entry to entry: reply with the state of the receiver.
    PeerReply(peer::Status),
    /// Owner to agent: start of a session.
    Session(Epoch),
    /// Owner to agent: forward the frames of this stream to and from the agent at this address.
    Relay(SocketAddr),
    /// Owner to agent: orders of the session.
    Orders(session::Orders),
    /// Agent to owner: complete state of the worker, at the start of a session.
    Update(session::Update),
    /// Entry to owner: query or notification about job graphs.
    Graph(graph::Query),
    /// Owner to entry: reply about job graphs.
    GraphReply(graph::Reply),
    /// The call was refused.
    Refused(Error),
    /// Agent to owner: changed state of the worker.
    Delta(delta::Delta),
}
