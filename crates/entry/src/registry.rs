//! Data in the platform's store other than jobs and claims: the configuration, the entries and the
//! holder of the cell.

mod configuration;
mod entries;
mod holder;

use std::sync::Arc;

use crate::Context;

pub use configuration::{SECTION_PREFIX, SectionRecord};
pub use entries::{deregister, register};
pub use holder::Holder;

/// Watches the configuration, the entries and the holder of the cell in the store.
pub async fn watch(context: Arc<Context>) {
    tokio::join!(
        configuration::watch(&context),
        entries::watch(&context),
        holder::watch(&context),
    );
}
