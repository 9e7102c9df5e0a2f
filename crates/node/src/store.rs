//! The platform's key-value store, as the product uses it.

mod call;
mod event;
mod item;
mod reply;
mod transaction;

use std::{fmt, sync::Arc};

use futures_util::future::BoxFuture;
use tokio::time::{Duration, Instant};
use toucanquay_model::{Error, ErrorKind, Revision};

pub use call::Call;
pub use event::Event;
pub use item::Item;
pub use reply::{Commit, Page, Reply, Watch};
pub use transaction::Transaction;

/// Time for one page. A page of 1 MB takes more than a second over a link of 10 Mbit/s, and twice
/// that when the link is shared.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Carries out one call by a deadline.
type Handler = dyn Fn(Call, Instant) -> BoxFuture<'static, Result<Reply, Error>> + Send + Sync;

/// A key-value store with transactions and watches.
///
/// An error of kind [`ErrorKind::StoreUnavailable`] means that nothing was done;
/// [`ErrorKind::OutcomeUnknown`] that the call may have been carried out, or will be.
#[derive(Clone)]
pub struct Store {
    handler: Arc<Handler>,
}

impl fmt::Debug for Store {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Store").finish_non_exhaustive()
    }
}

impl Store {
    /// Returns a store whose calls are carried out by `handler`.
    pub fn new<F>(handler: F) -> Self
    where
        F: Fn(Call, Instant) -> BoxFuture<'static, Result<Reply, Error>> + Send + Sync + 'static,
    {
        Self {
            handler: Arc::new(handler),
        }
    }

    /// Returns the item with a key.
    ///
    /// # Errors
    ///
    /// The store's error.
    pub async fn get(&self, key: &str, deadline: Instant) -> Result<Option<Item>, Error> {
        let call = Call::Get {
            key: key.to_owned(),
        };
        match (self.handler)(call, deadline).await? {
            Reply::Item(item) => Ok(item),
            _ => Err(unexpected_reply()),
        }
    }

    /// Returns the items with a prefix behind a key, and whether there are more.
    ///
    /// # Errors
    ///
    /// The store's error.
    pub async fn page(&self, prefix: &str, after: &str, deadline: Instant) -> Result<Page, Error> {
        let call = Call::Page {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
        };
        match (self.handler)(call, deadline).await? {
            Reply::Page(page) => Ok(page),
            _ => Err(unexpected_reply()),
        }
    }

    /// Returns all items with a prefix, and a revision from which a watch misses no change.
    ///
    /// Each page has [`PAGE_TIMEOUT`]; the whole may take longer.
    ///
    /// # Errors
    ///
    /// The store's error.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Error> {
        let first = self.page(prefix, "", Instant::now() + PAGE_TIMEOUT).await?;
        // Pages are not a snapshot; changes after the first one come through the watch.
        let revision = first.revision;
        let mut items = first.items;
        let mut has_more = first.has_more;
        while has_more {
            let after = items
                .last()
                .map(|item| item.key.clone())
                .unwrap_or_default();
            let page = self
                .page(prefix, &after, Instant::now() + PAGE_TIMEOUT)
                .await?;
            has_more = page.has_more && !page.items.is_empty();
            items.extend(page.items);
        }
        Ok((items, revision))
    }

    /// Waits for changes with a prefix after a revision, until the deadline.
    ///
    /// # Errors
    ///
    /// The store's error.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        deadline: Instant,
    ) -> Result<Watch, Error> {
        let call = Call::Watch {
            prefix: prefix.to_owned(),
            after,
        };
        match (self.handler)(call, deadline).await? {
            Reply::Watch(watch) => Ok(watch),
            _ => Err(unexpected_reply()),
        }
    }

    /// Writes and removes keys if all conditions hold.
    ///
    /// # Errors
    ///
    /// The store's error.
    pub async fn commit(
        &self,
        transaction: Transaction,
        deadline: Instant,
    ) -> Result<Commit, Error> {
        match (self.handler)(Call::Commit(transaction), deadline).await? {
            Reply::Commit(commit) => Ok(commit),
            _ => Err(unexpected_reply()),
        }
    }
}

fn unexpected_reply() -> Error {
    Error::new(ErrorKind::Protocol).context("the store's answer belongs to another call")
}
