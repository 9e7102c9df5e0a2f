//! Holder of the owner's role in the store.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use slog::info;
use toucanquay_model::Epoch;
use toucanquay_store::Event;
use toucanquay_wire::heartbeat::Owner;

use crate::Context;

/// Value of the key `cell/<n>/holder`, which expires with the holder's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the entry that holds the role.
    pub entry: String,
    /// Address of its peer listener.
    pub address: SocketAddr,
    /// Epoch of its ownership.
    pub epoch: Epoch,
}

impl Holder {
    /// Returns the store key of the holder of `cell`.
    #[must_use]
    pub fn key(cell: u32) -> String {
        format!("cell/{cell}/holder")
    }
}

/// Watches the holder of the cell.
pub(super) async fn watch(context: &Arc<Context>) {
    let key = Holder::key(context.settings.cell);
    loop {
        let Ok(range) = context.store.range(&key).await else {
            super::entries::wait_before_retry().await;
            continue;
        };
        // Another writer's key may begin in the same way.
        let item = range.items.iter().find(|item| item.key == key);
        apply_value(context, item.map(|item| item.value.as_str()));
        let mut watch = context.store.watch(key.clone(), range.revision);
        while let Event::Change(change) = watch.next().await {
            if change.key == key {
                apply_value(context, change.value.as_deref());
            }
        }
    }
}

fn apply_value(context: &Context, value: Option<&str>) {
    let holder = value.and_then(|value| serde_json::from_str::<Holder>(value).ok());
    let Some(holder) = holder else {
        info!(context.log, "cell_without_holder"; "cell" => context.settings.cell);
        context.role.set_vacant();
        return;
    };
    info!(context.log, "cell_holder"; "cell" => context.settings.cell,
        "entry" => &holder.entry, "epoch" => holder.epoch);
    context.set_owner(Owner {
        address: holder.address,
        epoch: holder.epoch,
    });
}
