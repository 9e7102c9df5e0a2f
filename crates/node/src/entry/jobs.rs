//! Client operations: submit and cancel jobs, and query their state.

use bytes::Bytes;
use slog::{debug, info};
use tokio::time::{Duration, Instant, sleep, timeout_at};
use toucanquay_model::{
    Error, ErrorKind,
    graph::{AcceptedJob, Id, Job, Progress, State},
};
use toucanquay_wire::{
    Frame,
    graph::{Change, Outcome, Query, Reply},
};

use super::{Entry, Shared, Target, change, peer, takeover};
use crate::key;

/// Timeout of one query to the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of one attempt to read a job's state from the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a failed call to the store or the owner is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Entry {
    /// Durably accepts a job. Submitting the same identifier again has no further effect.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] if the job wasn't accepted and will never run,
    /// [`ErrorKind::JobWithdrawn`] if it wasn't since its identifier was cancelled,
    /// [`ErrorKind::OutcomeUnknown`] if that isn't known by the deadline.
    pub async fn submit(
        &self,
        target: &Target,
        id: Id,
        job: Job,
        deadline: Instant,
    ) -> Result<(), Error> {
        let shared = &self.shared;
        let accepted_job = AcceptedJob {
            queue: target.queue.clone(),
            policy: target.policy.clone(),
            unix_ms: shared.clock.unix_ms(),
            job,
        };
        let record = serde_json::to_vec(&accepted_job)
            .map_err(|cause| Error::new(ErrorKind::Protocol).context(cause))?;
        let record = Bytes::from(record);
        let change = Change::Submit {
            id,
            record: record.clone(),
        };
        if change::apply(shared, &change, deadline).await? != Outcome::Accepted {
            info!(shared.log, "job_refused"; "job" => %id, "queue" => &target.queue,
                "reason" => "its identifier was cancelled");
            return Err(Error::new(ErrorKind::JobWithdrawn).field("id").value(id));
        }
        info!(shared.log, "job_accepted"; "job" => %id, "queue" => &target.queue,
            "steps" => accepted_job.job.steps.len(),
            "chain_ms" => accepted_job.job.critical_path_ms());
        notify_owner(shared.clone(), Query::Accepted { id, record });
        Ok(())
    }

    /// Durably cancels a job. Returns `false` if no job is stored under the identifier. Nothing runs
    /// under it then either, even if a submission is still on its way to the store.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] if the job wasn't cancelled, [`ErrorKind::OutcomeUnknown`] if
    /// that isn't known by the deadline, [`ErrorKind::Overloaded`] if too many cancellations of
    /// identifiers without a job are waiting.
    pub async fn cancel(&self, queue: &str, id: Id, deadline: Instant) -> Result<bool, Error> {
        let shared = &self.shared;
        if change::apply(shared, &Change::Cancel(id), deadline).await? != Outcome::Cancelled {
            if let Some(suppressed) = shared.take_line(shared.clock.now()) {
                info!(shared.log, "cancellation_without_job"; "job" => %id, "queue" => queue,
                    "suppressed" => suppressed);
            }
            return Ok(false);
        }
        info!(shared.log, "job_cancelled"; "job" => %id, "queue" => queue);
        notify_owner(shared.clone(), Query::Cancelled(id));
        Ok(true)
    }

    /// Returns the state of a job, or `None` if the job doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns the store's error if neither the owner nor the store responds by the deadline.
    pub async fn state(&self, id: Id, deadline: Instant) -> Result<Option<State>, Error> {
        let shared = &self.shared;
        match query_owner(shared, Query::State(id), deadline).await {
            Ok(Reply::State(Some(state))) => return Ok(Some(state)),
            Ok(_) => {}
            Err(error) => debug!(shared.log, "owner_query_failed"; "error" => %error),
        }
        read_state(shared, id, deadline).await
    }

    /// Returns the number of jobs in a queue that have no started task.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NoOwner`] if no owner responds by the deadline.
    pub async fn pending(&self, queue: &str, deadline: Instant) -> Result<u64, Error> {
        loop {
            match query_owner(&self.shared, Query::Pending(queue.to_owned()), deadline).await {
                Ok(Reply::Pending(pending)) => return Ok(pending),
                Ok(_) => return Err(Error::new(ErrorKind::Protocol)),
                Err(error) if Instant::now() + RETRY_DELAY >= deadline => return Err(error),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }
}

async fn read_state(shared: &Shared, id: Id, deadline: Instant) -> Result<Option<State>, Error> {
    loop {
        let call_deadline = deadline.min(Instant::now() + STORE_TIMEOUT);
        match try_read_state(shared, id, call_deadline).await {
            Ok(state) => return Ok(state),
            Err(error) if Instant::now() + RETRY_DELAY >= deadline => return Err(error),
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

async fn try_read_state(
    shared: &Shared,
    id: Id,
    deadline: Instant,
) -> Result<Option<State>, Error> {
    let store = &shared.store;
    let progress_item = match store.get(&key::progress(id), deadline).await {
        Err(error) if error.kind() == ErrorKind::Protocol => {
            debug!(shared.log, "progress_unreadable"; "job" => %id, "error" => %error);
            None
        }
        found => found?,
    };
    if let Some(item) = progress_item
        && let Ok(progress) = serde_json::from_slice::<Progress>(&item.value)
        && progress.state.is_over()
    {
        return Ok(Some(progress.state));
    }
    let Some(item) = store.get(&key::job(id), deadline).await? else {
        return Ok(None);
    };
    if store.get(&key::cancel(id), deadline).await?.is_some() {
        return Ok(Some(State::Cancelled));
    }
    Ok(takeover::parse_accepted_job(&item).map(|_| State::Running))
}

/// Notifies the owner of a change directly. If this fails, the owner's watch of the store reports
/// the change.
fn notify_owner(shared: std::sync::Arc<Shared>, query: Query) {
    tokio::spawn(async move {
        let deadline = Instant::now() + OWNER_TIMEOUT;
        if let Err(error) = query_owner(&shared, query, deadline).await {
            debug!(shared.log, "owner_notification_failed"; "error" => %error);
        }
    });
}

async fn query_owner(shared: &Shared, query: Query, deadline: Instant) -> Result<Reply, Error> {
    let deadline = deadline.min(Instant::now() + OWNER_TIMEOUT);
    if shared.mailbox().is_some() {
        let answered = timeout_at(deadline, peer::query_local_owner(shared, query)).await;
        return answered.map_err(|_elapsed| Error::new(ErrorKind::NoOwner))?;
    }
    let owner = shared
        .owner()
        .ok_or_else(|| Error::new(ErrorKind::NoOwner))?;
    if owner.address == shared.settings.listen {
        return Err(Error::new(ErrorKind::NoOwner).context("the owner is still loading its state"));
    }
    let frame = Frame::Graph(query);
    match shared.pool.call(owner.address, &frame, deadline).await? {
        Frame::GraphReply(reply) => Ok(reply),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}
