//! Writes a key and resolves lost answers.

use metrics::counter;
use reqwest::{Method, StatusCode};
use serde_json::Value;
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Revision};

use super::{
    Answer, Call, Client, Retry, WireChange, WireConflict, WireItem, WireWatch, body::WireRevision,
};
use crate::{Expected, Item, Put, Stamp};

/// One write with what is needed to find out whether it took effect.
#[derive(Debug)]
pub(super) struct Write<'a> {
    pub(super) key: &'a str,
    pub(super) path: Vec<&'a str>,
    pub(super) stamp: Stamp,
    pub(super) body: Value,
    pub(super) expected: Expected,
    /// Revision of the store that was seen before the write was sent.
    pub(super) known: Revision,
    pub(super) deadline: Instant,
}

impl Write<'_> {
    /// Makes attempts until the outcome is known or the deadline has passed.
    pub(super) async fn run(&self, client: &Client) -> Result<Put, Error> {
        let mut retry = Retry::new(self.deadline);
        loop {
            let request = client.request(Method::PUT, &self.path, &[]);
            let sent = client
                .transport()
                .send(Call::Put, request.json(&self.body), self.deadline);
            match sent.await {
                Ok(answer) => return self.decide(client, &answer, &retry).await,
                Err(failure) => {
                    let may_have_run = failure.may_have_run;
                    retry.wait(client, failure).await?;
                    if may_have_run && let Some(put) = self.resolve(client, &retry).await? {
                        return Ok(put);
                    }
                }
            }
        }
    }

    /// Returns the outcome that an answer tells.
    async fn decide(&self, client: &Client, answer: &Answer, retry: &Retry) -> Result<Put, Error> {
        match answer.status {
            StatusCode::CONFLICT => {
                let conflict: WireConflict = answer.parse()?;
                let current = conflict.current.map(WireItem::open);
                if !retry.is_ambiguous() {
                    return Ok(Put::Conflict(current));
                }
                self.judge(client, current, retry).await
            }
            StatusCode::PRECONDITION_FAILED => Ok(Put::LeaseEnded),
            _ => {
                let stored: WireRevision = answer.parse()?;
                client.transport().see(stored.revision);
                Ok(Put::Stored(stored.revision))
            }
        }
    }

    /// Reads the key after a lost answer. Returns the outcome, or `None` when the write has had no
    /// effect so far and is to be repeated.
    async fn resolve(&self, client: &Client, retry: &Retry) -> Result<Option<Put>, Error> {
        let read = client.get_by(&self.path, self.deadline).await;
        let current = read.map_err(|error| unknown(retry, error))?;
        let revision = current.as_ref().map(|item| item.revision);
        if self.is_own(current.as_ref()) || !self.expected.is_met_by(revision) {
            return self.judge(client, current, retry).await.map(Some);
        }
        // A key at the expected revision was not written since. An absent one may have been written
        // and deleted again, and a key with any value may have been overwritten.
        if !matches!(self.expected, Expected::Revision(_)) {
            let found = self.find(client).await;
            if let Some(revision) = found.map_err(|error| unknown(retry, error))? {
                count("stored");
                return Ok(Some(Put::Stored(revision)));
            }
        }
        // A delayed attempt may still arrive. The repetition has the same condition and stamp, so at
        // most one of them takes effect, and the other one is told of it.
        count("repeated");
        Ok(None)
    }

    /// Returns the outcome of a write that may have taken effect before `current` was written.
    async fn judge(
        &self,
        client: &Client,
        current: Option<Item>,
        retry: &Retry,
    ) -> Result<Put, Error> {
        if let Some(item) = current.as_ref().filter(|item| self.is_own(Some(item))) {
            count("stored");
            return Ok(Put::Stored(item.revision));
        }
        match self.find(client).await {
            Ok(Some(revision)) => {
                count("stored");
                Ok(Put::Stored(revision))
            }
            Ok(None) => {
                count("not_stored");
                Ok(Put::Conflict(current))
            }
            Err(error) => Err(unknown(retry, error)),
        }
    }

    /// Looks for this write among the changes of its key since before it was sent.
    async fn find(&self, client: &Client) -> Result<Option<Revision>, Error> {
        let mut after = self.known;
        loop {
            let query = [
                ("prefix", self.key.to_owned()),
                ("after", after.to_string()),
                ("wait_ms", "0".to_owned()),
            ];
            let call = || client.request(Method::GET, &["watch"], &query);
            let answer = client.repeat(Call::History, call, self.deadline).await?;
            if answer.status == StatusCode::GONE {
                let error = Error::new(ErrorKind::StoreUnavailable);
                return Err(error.context("the changes since the write are no longer kept"));
            }
            let watch: WireWatch = answer.parse()?;
            let is_end = watch.events.is_empty();
            let changes = watch.events.into_iter().map(WireChange::open);
            let mut own = changes.filter(|change| {
                change.key == self.key && change.stamp.as_ref() == Some(&self.stamp)
            });
            if let Some(change) = own.next() {
                return Ok(Some(change.revision));
            }
            if is_end || watch.revision <= after {
                return Ok(None);
            }
            after = watch.revision;
        }
    }

    fn is_own(&self, item: Option<&Item>) -> bool {
        item.is_some_and(|item| item.stamp.as_ref() == Some(&self.stamp))
    }
}

fn unknown(retry: &Retry, error: Error) -> Error {
    count("unknown");
    retry.error(error)
}

fn count(outcome: &'static str) {
    counter!("store_ambiguous_writes_total", "outcome" => outcome).increment(1);
}
