//! Leases that claims expire with.

use tokio::{
    sync::Mutex,
    time::{Duration, Instant},
};
use toucanquay_model::Error;
use toucanquay_store::Client;

/// Minimum lifetime of a claim.
const CLAIM_LIFETIME_MIN: Duration = Duration::from_secs(24 * 3_600);

/// Time during which new claims share a lease. One lease per claim would double the writes.
const SHARING_PERIOD: Duration = Duration::from_secs(3_600);

/// The lease that new claims share.
#[derive(Debug, Default)]
pub struct ClaimLease {
    current: Mutex<Option<(u64, Instant)>>,
}

impl ClaimLease {
    /// Returns a lease that lasts at least 24 hours.
    ///
    /// # Errors
    ///
    /// The kinds of [`Client::grant`].
    pub async fn current(&self, store: &Client) -> Result<u64, Error> {
        let mut current = self.current.lock().await;
        if let Some((lease, shared_until)) = *current
            && Instant::now() < shared_until
        {
            return Ok(lease);
        }
        let lease = store.grant(CLAIM_LIFETIME_MIN + SHARING_PERIOD).await?;
        *current = Some((lease.id, Instant::now() + SHARING_PERIOD));
        Ok(lease.id)
    }

    /// Discards the lease, for example because it has expired in the store.
    pub async fn discard(&self) {
        *self.current.lock().await = None;
    }
}
