//! One message between processes.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::{Epoch, Error, exchange, job, request::Verdict, session};

use crate::{End, Failure, Tombstone, graph, heartbeat, peer, request, response, section};

/// One message between the system's own processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Entry to companion: a request begins.
    Request(request::Head),
    /// Companion to entry: the answer begins.
    Response(response::Head),
    /// A part of a request's or an answer's body.
    Body(Bytes),
    /// A request or an answer is complete.
    End(End),
    /// Companion to entry: the request has no answer, or the answer breaks off.
    Failure(Failure),
    /// Entry to companion: refuse the request from now on unless it has begun.
    Tombstone(Tombstone),
    /// Companion to entry: what became of the request.
    Verdict(Verdict),
    /// Companion to entry: the worker's state.
    Heartbeat(heartbeat::Heartbeat),
    /// Entry to companion: the reply to a heartbeat.
    HeartbeatReply(heartbeat::Reply),
    /// Any process to another: asks for newer sections.
    SectionQuery(section::Query),
    /// The reply to a section query.
    SectionReply(section::Reply),
    /// Companion to cell owner: the state of its tasks.
    Report(exchange::Report),
    /// Cell owner to companion: the reply to a report.
    Command(exchange::Command),
    /// Entry to cell owner: a call about jobs.
    Job(job::Call),
    /// Cell owner to entry: the reply to a call about jobs.
    JobReply(job::Reply),
    /// Entry to entry: its state.
    Peer(peer::Status),
    /// Entry to entry: the reply with its own state.
    PeerReply(peer::Status),
    /// Owner to agent: a session begins.
    Session(Epoch),
    /// Owner to agent: pass the frames of this stream on to the agent at an address, and back.
    Relay(SocketAddr),
    /// Owner to agent: orders of the session.
    Orders(session::Orders),
    /// Agent to owner: everything that it knows.
    Update(session::Update),
    /// Entry to owner: a question or a notice on job graphs.
    Graph(graph::Query),
    /// Owner to entry.
    GraphReply(graph::Reply),
    /// The call was refused.
    Refused(Error),
}
