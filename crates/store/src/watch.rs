//! Watches of key prefixes.

use std::{collections::VecDeque, time::Duration};

use reqwest::{Method, StatusCode};
use tokio::time::Instant;
use toucanquay_model::{Error, Revision};

use crate::{
    Change, Client, Event,
    client::{CallKind, WireChange, WireWatch},
};

/// How long the store holds a poll when nothing changes. Each poll takes a call from the budget.
const POLL_WAIT: Duration = Duration::from_secs(10);

/// Time after the wait within which the response must arrive.
const RESPONSE_MARGIN: Duration = Duration::from_secs(3);

/// A stream of the changes to keys with a prefix, in the order of their revisions.
///
/// An interruption, such as an outage of the store, delays changes, but none is lost or repeated. A
/// change that can't be read is skipped and logged. A
/// watch ends with [`Event::Gap`] when the store has compacted changes that it has not delivered.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::Store;
/// use toucanquay_store::{Client, Event};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let store = Store::start().await?;
/// let client = Client::builder(store.address(), "entry-1").build()?;
/// let range = client.range("config/").await?;
/// let mut watch = client.watch("config/", range.revision);
///
/// store.write("config/section/desk", "text");
///
/// let Event::Change(change) = watch.next().await else { panic!("nothing was compacted") };
/// assert_eq!(change.value.as_deref(), Some("text"));
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Watch {
    client: Client,
    prefix: String,
    /// Revision up to which all changes have been received.
    after: Revision,
    undelivered: VecDeque<Change>,
    has_gap: bool,
    consecutive_failures: u32,
}

impl Watch {
    pub(crate) const fn new(client: Client, prefix: String, after: Revision) -> Self {
        Self {
            client,
            prefix,
            after,
            undelivered: VecDeque::new(),
            has_gap: false,
            consecutive_failures: 0,
        }
    }

    /// Waits for the next event, through interruptions of any length.
    ///
    /// Cancel safe: dropping the future before it completes loses no change.
    pub async fn next(&mut self) -> Event {
        loop {
            if let Some(change) = self.undelivered.pop_front() {
                return Event::Change(change);
            }
            if self.has_gap {
                return Event::Gap { after: self.after };
            }
            match self.poll().await {
                Ok(()) => self.consecutive_failures = 0,
                Err(_error) => {
                    let delay = self.client.backoff_delay(self.consecutive_failures);
                    self.consecutive_failures += 1;
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }

    /// Polls once for changes. For cancel safety, it modifies the state only after its last await
    /// point.
    async fn poll(&mut self) -> Result<(), Error> {
        // A poll that may become the breaker's probe must return at once, or the probe would time
        // out while no key changes.
        let is_breaker_closed = self.client.transport().is_breaker_closed();
        let poll_wait = if is_breaker_closed {
            POLL_WAIT
        } else {
            Duration::ZERO
        };
        let query = [
            ("prefix", self.prefix.clone()),
            ("after", self.after.to_string()),
            ("wait_ms", poll_wait.as_millis().to_string()),
        ];
        let request = self.client.request(Method::GET, &["watch"], &query);
        let deadline = Instant::now() + POLL_WAIT + RESPONSE_MARGIN;
        let sent = self
            .client
            .transport()
            .send(CallKind::Watch, request, deadline);
        let response = sent.await.map_err(|failure| failure.error)?;
        if response.status == StatusCode::GONE {
            self.has_gap = true;
            return Ok(());
        }
        let watch: WireWatch = response.parse()?;
        let events = watch.events;
        self.client.skip_entries(events.unreadable);
        let changes = events.readable.into_iter().map(WireChange::into_change);
        self.undelivered.extend(changes);
        self.after = self.after.max(watch.revision);
        self.client.transport().observe_revision(self.after);
        Ok(())
    }
}
