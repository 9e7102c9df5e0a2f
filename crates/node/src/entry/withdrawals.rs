//! Writes the withdrawals of this entry, many in one transaction.
//!
//! A client may cancel any number of identifiers under which nothing is stored. Batches at a fixed
//! interval bound what that takes from the store's other callers.

use std::{collections::BTreeSet, sync::Arc};

use slog::info;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Duration, Instant, sleep_until, timeout_at},
};
use toucanquay_model::{Error, ErrorKind, graph::Id};

use super::{Shared, withdrawal::Withdrawal};
use crate::{
    key, meters,
    store::{Commit, Transaction},
};

/// Maximum number of identifiers in one transaction: a condition and a write each.
const BATCH_MAX: usize = Transaction::OPERATIONS_MAX / 2;

/// Minimum time from the start of one transaction to that of the next one.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of cancellations that wait. They are written within 2.5 s, while their clients
/// wait.
const QUEUE_CAPACITY: usize = 25 * BATCH_MAX;

/// Timeout of one transaction.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Queue of cancellations of identifiers under which nothing is stored.
#[derive(Debug)]
pub(super) struct Withdrawals {
    requests: mpsc::Sender<Request>,
}

/// A cancellation that waits.
#[derive(Debug)]
pub(super) struct Request {
    id: Id,
    /// Receives whether the identifier is withdrawn; `false` if something is stored under it.
    reply: oneshot::Sender<Result<bool, Error>>,
}

impl Withdrawals {
    /// Creates a queue. [`run`] has to serve its requests.
    pub(super) fn new() -> (Self, mpsc::Receiver<Request>) {
        let (requests, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { requests }, receiver)
    }

    /// Writes a withdrawal unless something is stored under the identifier. Returns whether it was
    /// written.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if too many cancellations are waiting,
    /// [`ErrorKind::OutcomeUnknown`] if there is no outcome by the deadline, or the store's error.
    pub(super) async fn withdraw(&self, id: Id, deadline: Instant) -> Result<bool, Error> {
        let (reply, outcome) = oneshot::channel();
        let queued = self.requests.try_send(Request { id, reply });
        queued.map_err(|_full| Error::new(ErrorKind::Overloaded).field("cancellations"))?;
        let unknown = || Error::new(ErrorKind::OutcomeUnknown).context("no outcome of the batch");
        let outcome = timeout_at(deadline, outcome).await;
        outcome
            .map_err(|_elapsed| unknown())?
            .map_err(|_closed| unknown())?
    }
}

/// Writes the requested withdrawals until the entry stops.
pub(super) async fn run(shared: Arc<Shared>, mut requests: mpsc::Receiver<Request>) {
    let mut batch: Vec<Request> = Vec::new();
    let mut next_at = Instant::now();
    loop {
        if batch.is_empty() {
            let Some(request) = requests.recv().await else {
                return;
            };
            batch.push(request);
        }
        sleep_until(next_at).await;
        fill(&mut batch, &mut requests);
        if !batch.is_empty() {
            next_at = Instant::now() + BATCH_INTERVAL;
            batch = write(&shared, batch).await;
        }
    }
}

/// Completes a batch with further requests, except those whose clients no longer wait.
fn fill(batch: &mut Vec<Request>, requests: &mut mpsc::Receiver<Request>) {
    batch.retain(|request| !request.reply.is_closed());
    while batch.len() < BATCH_MAX
        && let Ok(request) = requests.try_recv()
    {
        if !request.reply.is_closed() {
            batch.push(request);
        }
    }
}

/// Writes a batch and replies to its requests. Returns those that weren't written because another
/// identifier is in use.
async fn write(shared: &Shared, batch: Vec<Request>) -> Vec<Request> {
    let ids: BTreeSet<Id> = batch.iter().map(|request| request.id).collect();
    let value = Withdrawal::new(shared.clock.unix_ms()).encode();
    let add = |transaction: Transaction, id: &Id| {
        let key = key::job(*id);
        transaction
            .expect_revision(key.clone(), 0)
            .put(key, value.clone())
    };
    let transaction = ids.iter().fold(Transaction::default(), add);
    let committed = shared
        .store
        .commit(transaction, Instant::now() + STORE_TIMEOUT)
        .await;
    let outcome = match committed {
        Ok(Commit::Done(revision)) => {
            info!(shared.log, "jobs_withdrawn"; "jobs" => ids.len(), "revision" => revision);
            meters::count_jobs_withdrawn(ids.len());
            Ok(true)
        }
        Ok(Commit::Conflict { items, unreadable }) => {
            let stored = items.into_iter().map(|item| item.key);
            let used: BTreeSet<String> = stored.chain(unreadable).collect();
            return reply_to_used(batch, &used);
        }
        Err(error) => Err(error),
    };
    for request in batch {
        // Sending fails if the client no longer waits.
        let _ = request.reply.send(outcome.clone());
    }
    Vec::new()
}

/// Replies to the requests whose keys are in use, and returns the others.
fn reply_to_used(batch: Vec<Request>, used_keys: &BTreeSet<String>) -> Vec<Request> {
    let is_used = |request: &Request| used_keys.contains(&key::job(request.id));
    let (used, free): (Vec<Request>, Vec<Request>) = batch.into_iter().partition(is_used);
    for request in used {
        // Sending fails if the client no longer waits.
        let _ = request.reply.send(Ok(false));
    }
    free
}
