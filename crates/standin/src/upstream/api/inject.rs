//! Hands the shared state to handlers that are not counted.

use std::sync::Arc;

use salvo::prelude::*;

use crate::upstream::Shared;

/// Puts the shared state where the handler finds it.
#[derive(Debug)]
pub(super) struct Inject {
    shared: Arc<Shared>,
}

impl Inject {
    pub(super) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[handler]
impl Inject {
    async fn handle(&self, depot: &mut Depot) {
        depot.insert_typed(Arc::clone(&self.shared));
    }
}
