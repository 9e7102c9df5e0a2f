//! The store client.

mod attempt_failure;
mod body;
mod call_kind;
mod odd_entries;
mod response;
mod retry_state;
mod shared_throttle;
mod transport;
mod write;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use reqwest::{Method, RequestBuilder, StatusCode};
use serde_json::json;
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Revision};

pub(crate) use attempt_failure::AttemptFailure;
pub(crate) use body::{WireChange, WireWatch};
use body::{WireConflict, WireItem, WireLease, WireRange, WireTtl};
pub(crate) use call_kind::CallKind;
use odd_entries::OddEntries;
pub(crate) use response::Response;
use retry_state::RetryState;
use transport::Transport;
use write::Write;

use crate::{
    Backoff, Builder, DeleteOutcome, Expected, Item, Lease, PutOutcome, Range, Stamp, Watch,
};

/// Maximum length of a key, in bytes.
pub const KEY_BYTES_MAX: usize = 512;

/// Maximum size of a stored text, in bytes: a value and its stamp line.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// A client of the store. Clones share the call budget, the circuit breaker and the connections.
///
/// Every call ends by the call deadline. A failure to reach the store is
/// [`ErrorKind::StoreUnavailable`]. An unmet write condition is an outcome, not an error.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::Store;
/// use toucanquay_store::{Client, Expected, PutOutcome};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let store = Store::start().await?;
/// let client = Client::builder(store.address(), "entry-1").build()?;
///
/// let put = client.put("config/section/desk", "a", Expected::Absent, None).await?;
/// let PutOutcome::Stored(revision) = put else {
///     panic!("the key is new");
/// };
/// let again = client.put("config/section/desk", "b", Expected::Absent, None).await?;
///
/// assert!(matches!(again, PutOutcome::Conflict(Some(item)) if item.revision == revision));
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    transport: Transport,
    writer: String,
    sequence: AtomicU64,
    call_deadline: Duration,
    backoff: Backoff,
    odd_entries: OddEntries,
}

impl Client {
    /// Returns a builder of a client for the store at `address`, whose stored values carry the id
    /// `writer`.
    #[must_use]
    pub fn builder(address: SocketAddr, writer: impl Into<String>) -> Builder {
        Builder::new(address, writer)
    }

    pub(crate) fn new(builder: Builder) -> Result<Self, Error> {
        // A restarted process counts its writes from zero again. A random suffix keeps its stamps
        // distinct from those of the previous run.
        let run_id: u64 = rand::random();
        Ok(Self {
            shared: Arc::new(Shared {
                writer: format!("{}.{run_id:016x}", builder.writer),
                sequence: AtomicU64::new(0),
                call_deadline: builder.call_deadline,
                backoff: Backoff::default(),
                odd_entries: OddEntries::new(builder.log.clone()),
                transport: Transport::new(builder)?,
            }),
        })
    }

    /// Returns the writer id with the random suffix of this run.
    #[must_use]
    pub fn writer(&self) -> &str {
        &self.shared.writer
    }

    /// Returns the highest store revision that this client has observed.
    #[must_use]
    pub fn observed_revision(&self) -> Revision {
        self.shared.transport.highest_revision()
    }

    /// Returns whether the circuit breaker currently lets calls through.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.shared.transport.is_available()
    }

    /// Returns the item at `key`, or `None` when the key is absent.
    ///
    /// The result is never older than any revision that this client observed before the call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] when there is no response, or only stale ones, by the
    /// deadline; [`ErrorKind::InvalidField`] for a malformed key.
    pub async fn get(&self, key: &str) -> Result<Option<Item>, Error> {
        let path = key_path(key)?;
        self.get_by_path(&path, self.deadline()).await
    }

    /// Returns the items whose keys start with `prefix`, all read at one revision.
    ///
    /// An item that can't be read is skipped and logged.
    ///
    /// # Errors
    ///
    /// The same kinds as [`Self::get`].
    pub async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let query = [("prefix", prefix.to_owned())];
        let build_request = || self.request(Method::GET, &["range"], &query);
        let response = self
            .send_with_retries(CallKind::Range, build_request, self.deadline())
            .await?;
        let range: WireRange = response.parse()?;
        let items = range.items.readable.into_iter().map(WireItem::into_item);
        let is_complete = range.items.unreadable.is_empty();
        self.skip_entries(range.items.unreadable);
        Ok(Range {
            revision: range.revision,
            items: items.collect(),
            is_complete,
        })
    }

    /// Writes `value` at `key` if `expected` is met. A key with a lease is deleted when the lease
    /// ends.
    ///
    /// When a response is lost, the client uses the stamp to find out whether the write took
    /// effect, and retries it if not.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] when the write had no effect and never will;
    /// [`ErrorKind::OutcomeUnknown`] when it may have taken effect or may still do so;
    /// [`ErrorKind::BodyTooLarge`] for a value over 1 MB; [`ErrorKind::InvalidField`] for a
    /// malformed key.
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        expected: Expected,
        lease: Option<u64>,
    ) -> Result<PutOutcome, Error> {
        let path = key_path(key)?;
        let stamp = self.next_stamp();
        let stored = stamp.encode(value);
        if stored.len() > VALUE_BYTES_MAX {
            return Err(Error::new(ErrorKind::BodyTooLarge)
                .field(key)
                .value(stored.len())
                .expected("at most 1000000 bytes including the stamp"));
        }
        let body = json!({ "value": stored, "expected": expected.to_wire(), "lease": lease });
        let write = Write {
            key,
            path,
            stamp,
            body,
            expected,
            revision_before: self.observed_revision(),
            deadline: self.deadline(),
        };
        write.execute(self).await
    }

    /// Deletes `key` if `expected` is met.
    ///
    /// # Errors
    ///
    /// The same kinds as [`Self::put`].
    pub async fn delete(&self, key: &str, expected: Expected) -> Result<DeleteOutcome, Error> {
        let path = key_path(key)?;
        let deadline = self.deadline();
        let revision = expected.to_wire();
        let query: Vec<_> = revision
            .iter()
            .map(|revision| ("expected", revision.to_string()))
            .collect();
        let mut retry = RetryState::new(deadline);
        loop {
            let request = self.request(Method::DELETE, &path, &query);
            match self
                .transport()
                .send(CallKind::Delete, request, deadline)
                .await
            {
                Ok(response) => return delete_outcome(&response, retry.is_ambiguous()),
                Err(failure) => retry.wait_for_next(self, failure).await?,
            }
        }
    }

    /// Grants a lease that expires `ttl` after its grant or last keep-alive.
    ///
    /// After a lost response, an unused lease may remain in the store until it expires.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] when there is no response by the deadline.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let body = json!({ "ttl_ms": millis(ttl) });
        let deadline = self.deadline();
        let build_request = || self.request(Method::POST, &["leases"], &[]).json(&body);
        let response = self
            .send_with_retries(CallKind::Grant, build_request, deadline)
            .await?;
        let granted: WireLease = response.parse()?;
        Ok(Lease {
            id: granted.lease,
            deadline: response.sent_at + ttl,
        })
    }

    /// Renews a lease and returns it with its new deadline, or `None` if the lease has ended.
    ///
    /// This call does not queue behind others for the call budget.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] when there is no response by the deadline.
    pub async fn keep_alive(&self, lease: u64) -> Result<Option<Lease>, Error> {
        let id = lease.to_string();
        let path = ["leases", &id, "keepalive"];
        let build_request = || self.request(Method::POST, &path, &[]);
        let response = self
            .send_with_retries(CallKind::KeepAlive, build_request, self.deadline())
            .await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let kept: WireTtl = response.parse()?;
        Ok(Some(Lease {
            id: lease,
            deadline: response.sent_at + Duration::from_millis(kept.ttl_ms),
        }))
    }

    /// Ends a lease and deletes its keys. Has no effect on a lease that has already ended.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] when there is no response by the deadline.
    pub async fn revoke(&self, lease: u64) -> Result<(), Error> {
        let id = lease.to_string();
        let path = ["leases", &id];
        let build_request = || self.request(Method::DELETE, &path, &[]);
        self.send_with_retries(CallKind::Revoke, build_request, self.deadline())
            .await?;
        Ok(())
    }

    /// Watches the keys that start with `prefix` for changes after the revision `after`, usually
    /// that of a [`Range`].
    #[must_use]
    pub fn watch(&self, prefix: impl Into<String>, after: Revision) -> Watch {
        Watch::new(self.clone(), prefix.into(), after)
    }

    pub(crate) fn request(
        &self,
        method: Method,
        path: &[&str],
        query: &[(&str, String)],
    ) -> RequestBuilder {
        self.shared.transport.request(method, path, query)
    }

    pub(crate) fn transport(&self) -> &Transport {
        &self.shared.transport
    }

    /// Logs entries of a response that are skipped.
    pub(crate) fn skip_entries(&self, entries: Vec<String>) {
        self.shared.odd_entries.skip(entries);
    }

    /// Reads the key with the URL path `path` by `deadline`.
    async fn get_by_path(&self, path: &[&str], deadline: Instant) -> Result<Option<Item>, Error> {
        let build_request = || self.request(Method::GET, path, &[]);
        let response = self
            .send_with_retries(CallKind::Get, build_request, deadline)
            .await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let item: WireItem = response.parse()?;
        Ok(Some(item.into_item()))
    }

    /// Sends an idempotent call until there is a response or the deadline has passed.
    async fn send_with_retries(
        &self,
        kind: CallKind,
        build_request: impl Fn() -> RequestBuilder,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let mut retry = RetryState::new(deadline);
        loop {
            match self.transport().send(kind, build_request(), deadline).await {
                Ok(response) => return Ok(response),
                Err(failure) => retry.wait_for_next(self, failure.into_idempotent()).await?,
            }
        }
    }

    pub(crate) fn backoff_delay(&self, failures: u32) -> Duration {
        let micros = self.shared.backoff.delay_micros(failures, rand::random());
        Duration::from_micros(micros)
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.shared.call_deadline
    }

    fn next_stamp(&self) -> Stamp {
        Stamp {
            writer: self.shared.writer.clone(),
            sequence: self.shared.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

fn delete_outcome(response: &Response, is_ambiguous: bool) -> Result<DeleteOutcome, Error> {
    match response.status {
        StatusCode::NOT_FOUND if is_ambiguous => Ok(DeleteOutcome::Deleted),
        StatusCode::NOT_FOUND => Ok(DeleteOutcome::Absent),
        StatusCode::CONFLICT => {
            let conflict: WireConflict = response.parse()?;
            let current = conflict.current.map(WireItem::into_item);
            Ok(current.map_or(DeleteOutcome::Absent, DeleteOutcome::Conflict))
        }
        _ => Ok(DeleteOutcome::Deleted),
    }
}

/// Splits a key into the segments of its URL path.
fn key_path(key: &str) -> Result<Vec<&str>, Error> {
    // URLs cannot represent these segments: they are dropped when the URL is assembled.
    let is_unrepresentable = |segment: &str| matches!(segment, "" | "." | "..");
    let is_malformed = key.len() > KEY_BYTES_MAX || key.contains(char::is_control);
    if is_malformed || key.split('/').any(is_unrepresentable) {
        return Err(Error::new(ErrorKind::InvalidField)
            .field("store key")
            .value(key)
            .expected(
                "1 to 512 bytes without control characters, in segments separated by \"/\", \
                 none of which is empty, \".\" or \"..\"",
            ));
    }
    Ok(std::iter::once("keys").chain(key.split('/')).collect())
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
