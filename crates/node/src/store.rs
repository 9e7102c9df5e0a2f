//! Interface to the platform's key-value store.

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
pub use reply::{Commit, List, Page, Reply, Watch};
pub use transaction::Transaction;

/// Timeout for reading one page. A page of 1 MB takes more than a second over a link of 10 Mbit/s,
/// and twice that if the link is shared.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Executes one call by a deadline.
type Handler = dyn Fn(Call, Instant) -> BoxFuture<'static, Result<Reply, Error>> + Send + Sync;

/// Client of a key-value store with transactions and watches.
///
/// [`ErrorKind::StoreUnavailable`] means that the call wasn't executed.
/// [`ErrorKind::OutcomeUnknown`] means that it may have been executed, or may still be.
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
    /// Creates a client whose calls are executed by `handler`.
    pub fn new<F>(handler: F) -> Self
    where
        F: Fn(Call, Instant) -> BoxFuture<'static, Result<Reply, Error>> + Send + Sync + 'static,
    {
        Self {
            handler: Arc::new(handler),
        }
    }

    /// Returns the item with the given key, if it exists.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn get(&self, key: &str, deadline: Instant) -> Result<Option<Item>, Error> {
        let call = Call::Get {
            key: key.to_owned(),
        };
        match (self.handler)(call, deadline).await? {
            Reply::Item(item) => Ok(item),
            _ => Err(unexpected_reply()),
        }
    }

    /// Returns one page of the items whose key has the prefix and sorts after the given key, and
    /// whether there are more.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
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

    /// Returns all items whose key has the prefix.
    ///
    /// [`PAGE_TIMEOUT`] applies to each page, not to the whole list.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
    pub async fn list(&self, prefix: &str) -> Result<List, Error> {
        let mut page = self.page(prefix, "", Instant::now() + PAGE_TIMEOUT).await?;
        // The pages aren't a consistent snapshot. A watch from the first page's revision reports
        // the changes made while the others were read.
        let mut list = List {
            revision: page.revision,
            ..List::default()
        };
        loop {
            let after = page.last_key().filter(|_| page.has_more).map(str::to_owned);
            list.items.extend(page.items);
            list.unreadable.extend(page.unreadable);
            let Some(after) = after else {
                return Ok(list);
            };
            page = self
                .page(prefix, &after, Instant::now() + PAGE_TIMEOUT)
                .await?;
        }
    }

    /// Waits until the deadline for changes after a revision to keys with the prefix.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
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

    /// Atomically writes and removes keys if all conditions hold.
    ///
    /// # Errors
    ///
    /// Returns the store's error.
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
    Error::new(ErrorKind::Protocol).context("the store's reply doesn't match the call")
}
