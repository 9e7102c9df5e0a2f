//! Events processed by the owner.

use std::collections::{BTreeSet, HashSet};

use tokio::sync::{mpsc, oneshot};
use toucanquay_model::{
    Revision, Time,
    graph::{AcceptedJob, Id},
    session::{Orders, Update},
};
use toucanquay_wire::graph::{Query, Reply};

use crate::entry::Registration;

/// An event processed by the owner.
#[derive(Debug)]
pub(in crate::entry) enum Event {
    /// The owner may act until this time.
    OwnershipExtended(Time),
    /// A new configuration was applied.
    ConfigurationChanged,
    /// A session to a host was established. Orders are sent through the sender.
    Connected(String, mpsc::Sender<Orders>),
    /// The session to a host ended.
    Disconnected(String),
    /// A companion's update.
    Update(Box<Update>),
    /// A query or notification from an entry.
    Query(Query, Option<oneshot::Sender<Reply>>),
    /// A job was durably accepted at this revision.
    Accepted(Id, Box<AcceptedJob>, Revision),
    /// An identifier without a job was withdrawn at this revision.
    Withdrawn(Id, Revision),
    /// A job was durably cancelled.
    Cancelled(Id),
    /// A companion was registered, or its registration has changed.
    HostRegistration(String, Registration),
    /// The registration of a companion was removed.
    HostRemoved(String),
    /// All hosts that are registered, after removals may have been missed.
    HostsListed(HashSet<String>),
    /// A commit of job records succeeded at this revision.
    CommitSucceeded(Revision),
    /// A commit of job records was rejected. Contains the current revisions of the records.
    CommitRejected(Vec<(Id, Revision)>),
    /// The jobs that were stored at these revisions were removed.
    JobsRemoved(Vec<(Id, Revision)>),
    /// The silent hosts were recorded at this revision.
    SilenceRecorded(Revision),
    /// The silent hosts were not recorded. Contains the revision of the present record.
    SilenceRejected(Revision),
    /// The zones whose evacuation was requested were exactly these at a time.
    EvacuationsConfirmed(BTreeSet<String>, Time),
    /// Another owner has taken over.
    Superseded,
}
