//! What the owner's task hears.

use tokio::sync::{mpsc, oneshot};
use toucanquay_model::{
    Revision, Time,
    graph::{AcceptedJob, Id},
    session::{Orders, Update},
};
use toucanquay_wire::graph::{Query, Reply};

use crate::entry::Address;

/// An event for the owner's task.
#[derive(Debug)]
pub(in crate::entry) enum Event {
    /// The owner's authority was extended.
    OwnershipExtended(Time),
    /// Another configuration is in force.
    ConfigurationChanged,
    /// A session began; orders go to the sender.
    Connected(String, mpsc::Sender<Orders>),
    /// A session ended.
    Disconnected(String),
    /// An agent's update.
    Update(Box<Update>),
    /// A question or a notice of an entry.
    Query(Query, Option<oneshot::Sender<Reply>>),
    /// A job is durable.
    Accepted(Id, Box<AcceptedJob>),
    /// A cancellation is durable.
    Cancelled(Id),
    /// A companion's address.
    HostAddress(String, Address),
    /// A commit is durable with this revision.
    CommitSucceeded(Revision),
    /// A commit was refused; these are the records' revisions.
    CommitRejected(Vec<(Id, Revision)>),
    /// Another owner has taken over.
    Superseded,
}
