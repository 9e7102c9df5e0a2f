//! Role of the cell's owner.
//!
//! [`run`] tries to get the role, takes over the cell's state, and drives it until the role is
//! lost. [`Role`] is where the listeners reach it.

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
pub use takeover::Leadership;

/// Shortest and longest wait before another try at the role, in milliseconds. The spread keeps
/// entries from trying at the same moment.
const RETRY_MS: std::ops::Range<u64> = 100..400;

/// Gets the role whenever it is vacant and holds it while it can, until the entry retires.
pub async fn run(context: Arc<Context>) {
    while !context.role.is_retired() {
        tokio::select! {
            () = context.role.wait_vacant() => {}
            () = context.role.wait_retired() => return,
        }
        let jitter = rand::rng().random_range(RETRY_MS);
        tokio::time::sleep(Duration::from_millis(jitter)).await;
        match takeover::acquire(&context).await {
            Ok(Some(leadership)) => {
                drive::run_as_owner(&context, leadership).await;
                info!(context.log, "role_ended"; "cell" => context.settings.cell);
            }
            Ok(None) => {}
            Err(error) => {
                warn!(context.log, "takeover_failed"; "error" => %error);
                // No change of the holder's key may follow, so the next try is due without one.
                context.role.set_vacant();
            }
        }
    }
}
