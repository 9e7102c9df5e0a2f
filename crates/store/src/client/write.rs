//! Writes of keys, and the resolution of lost responses.

use metrics::counter;
use reqwest::{Method, StatusCode};
use serde_json::Value;
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Revision};

use super::{
    CallKind, Client, Response, RetryState, WireChange, WireConflict, WireItem, WireWatch,
    body::WireRevision,
};
use crate::{Expected, Item, PutOutcome, Stamp};

/// A write and the data needed to find out whether it took effect.
#[derive(Debug)]
pub(super) struct Write<'a> {
    pub(super) key: &'a str,
    pub(super) path: Vec<&'a str>,
    pub(super) stamp: Stamp,
    pub(super) body: Value,
    pub(super) expected: Expected,
    /// Store revision that was observed before the write was sent. The search of the history
    /// starts after it.
    pub(super) revision_before: Revision,
    pub(super) deadline: Instant,
}

impl Write<'_> {
    /// Sends attempts until the outcome is known or the deadline has passed.
    pub(super) async fn execute(&self, client: &Client) -> Result<PutOutcome, Error> {
        let mut retry = RetryState::new(self.deadline);
        loop {
            let request = client.request(Method::PUT, &self.path, &[]);
            let sent =
                client
                    .transport()
                    .send(CallKind::Put, request.json(&self.body), self.deadline);
            match sent.await {
                Ok(response) => return self.outcome_of_response(client, &response, &retry).await,
                Err(failure) => {
                    let may_have_effect = failure.may_have_effect;
                    retry.wait_for_next(client, failure).await?;
                    if may_have_effect
                        && let Some(put) = self.resolve_lost_response(client, &retry).await?
                    {
                        return Ok(put);
                    }
                }
            }
        }
    }

    /// Returns the outcome that a response reports. A conflict after an ambiguous attempt may be
    /// with this write itself.
    async fn outcome_of_response(
        &self,
        client: &Client,
        response: &Response,
        retry: &RetryState,
    ) -> Result<PutOutcome, Error> {
        match response.status {
            StatusCode::CONFLICT => {
                let conflict: WireConflict = response.parse()?;
                let current = conflict.current.map(WireItem::into_item);
                if !retry.is_ambiguous() {
                    return Ok(PutOutcome::Conflict(current));
                }
                self.resolve_conflict(client, current, retry).await
            }
            StatusCode::PRECONDITION_FAILED => Ok(PutOutcome::LeaseEnded),
            _ => {
                let stored: WireRevision = response.parse()?;
                client.transport().observe_revision(stored.revision);
                Ok(PutOutcome::Stored(stored.revision))
            }
        }
    }

    /// Reads the key after a lost response. Returns the outcome, or `None` if the write has had no
    /// effect so far and must be retried.
    async fn resolve_lost_response(
        &self,
        client: &Client,
        retry: &RetryState,
    ) -> Result<Option<PutOutcome>, Error> {
        let read = client.get_by_path(&self.path, self.deadline).await;
        let current = read.map_err(|error| unresolved(retry, error))?;
        let revision = current.as_ref().map(|item| item.revision);
        if self.is_this_write(current.as_ref()) || !self.expected.is_met_by(revision) {
            return self
                .resolve_conflict(client, current, retry)
                .await
                .map(Some);
        }
        // A key that is still at the expected revision was not written. An absent key may have been
        // written and deleted again, and with `Expected::Any` the write may have been overwritten,
        // so the history decides.
        if !matches!(self.expected, Expected::Revision(_)) {
            let found = self.find_in_history(client).await;
            if let Some(revision) = found.map_err(|error| unresolved(retry, error))? {
                count_ambiguous_write("stored");
                return Ok(Some(PutOutcome::Stored(revision)));
            }
        }
        // A delayed attempt may still arrive. The retry has the same condition and stamp, so with a
        // condition at most one of them takes effect and the other one gets a conflict.
        count_ambiguous_write("repeated");
        Ok(None)
    }

    /// Returns the outcome of an ambiguous write whose key now holds `current`: the write either
    /// took effect, even if `current` has replaced it since, or had a conflict.
    async fn resolve_conflict(
        &self,
        client: &Client,
        current: Option<Item>,
        retry: &RetryState,
    ) -> Result<PutOutcome, Error> {
        if let Some(item) = current
            .as_ref()
            .filter(|item| self.is_this_write(Some(item)))
        {
            count_ambiguous_write("stored");
            return Ok(PutOutcome::Stored(item.revision));
        }
        match self.find_in_history(client).await {
            Ok(Some(revision)) => {
                count_ambiguous_write("stored");
                Ok(PutOutcome::Stored(revision))
            }
            Ok(None) => {
                count_ambiguous_write("not_stored");
                Ok(PutOutcome::Conflict(current))
            }
            Err(error) => Err(unresolved(retry, error)),
        }
    }

    /// Searches the changes of the key since before the write was sent for this write. Returns its
    /// revision.
    async fn find_in_history(&self, client: &Client) -> Result<Option<Revision>, Error> {
        let mut after = self.revision_before;
        loop {
            let query = [
                ("prefix", self.key.to_owned()),
                ("after", after.to_string()),
                ("wait_ms", "0".to_owned()),
            ];
            let build_request = || client.request(Method::GET, &["watch"], &query);
            let response = client
                .send_with_retries(CallKind::History, build_request, self.deadline)
                .await?;
            if response.status == StatusCode::GONE {
                let error = Error::new(ErrorKind::StoreUnavailable);
                return Err(error.context("the change history since the write was compacted"));
            }
            let watch: WireWatch = response.parse()?;
            let events = watch.events;
            let is_complete = events.unreadable.is_empty();
            let is_history_end = events.readable.is_empty() && is_complete;
            client.skip_entries(events.unreadable);
            let changes = events.readable.into_iter().map(WireChange::into_change);
            let mut own_changes = changes.filter(|change| {
                change.key == self.key && change.stamp.as_ref() == Some(&self.stamp)
            });
            if let Some(change) = own_changes.next() {
                return Ok(Some(change.revision));
            }
            if !is_complete {
                let error = Error::new(ErrorKind::Protocol);
                return Err(error.context("a change that may be this write can't be read"));
            }
            if is_history_end || watch.revision <= after {
                return Ok(None);
            }
            after = watch.revision;
        }
    }

    fn is_this_write(&self, item: Option<&Item>) -> bool {
        item.is_some_and(|item| item.stamp.as_ref() == Some(&self.stamp))
    }
}

/// Counts a write whose outcome could not be found out, and returns the error of its call.
fn unresolved(retry: &RetryState, error: Error) -> Error {
    count_ambiguous_write("unknown");
    retry.final_error(error)
}

fn count_ambiguous_write(outcome: &'static str) {
    counter!("store_ambiguous_writes_total", "outcome" => outcome).increment(1);
}
