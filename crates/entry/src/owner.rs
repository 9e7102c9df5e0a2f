//! Ownership of the cell.
//!
//! [`run`] acquires the role, takes over the cell's state and drives the cell until the role is
//! lost. Listeners reach the cell through [`Role`].

mod cell_handle;
mod drive;
mod role;
mod takeover;

use std::sync::Arc;

use rand::RngExt;
use slog::{info, warn};
use tokio::time::Duration;

use crate::Context;

pub use cell_handle::CellHandle;
pub use role::Role;
pub use takeover::Takeover;

/// Range of the random delay before an attempt to acquire the role, in milliseconds. The jitter
/// keeps entries from trying at the same time.
const ACQUIRE_DELAY_MS: std::ops::Range<u64> = 100..400;

/// Acquires the role whenever it is vacant and holds it as long as possible, until the entry
/// retires.
pub async fn run(context: Arc<Context>) {
    while !context.role.is_retired() {
        tokio::select! {
            () = context.role.wait_vacant() => {}
            () = context.role.wait_retired() => return,
        }
        let jitter = rand::rng().random_range(ACQUIRE_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(jitter)).await;
        match takeover::acquire(&context).await {
            Ok(Some(takeover)) => {
                drive::run_as_owner(&context, takeover).await;
                info!(context.log, "role_ended"; "cell" => context.settings.cell);
            }
            Ok(None) => {}
            Err(error) => {
                warn!(context.log, "takeover_failed"; "error" => %error);
                // The holder's key may not change again, so the next attempt must not wait
                // for a change.
                context.role.set_vacant();
            }
        }
    }
}
