//! Answers of the store.

use toucanquay_model::Revision;

use super::{Event, Item};

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The item that was asked for.
    Item(Option<Item>),
    /// Items by prefix.
    Page(Page),
    /// Changes.
    Watch(Watch),
    /// Outcome of a transaction.
    Commit(Commit),
}

/// Items by prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// There are more items behind the last one.
    pub has_more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// Changes since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watch {
    /// What changed, perhaps nothing.
    Events {
        /// The changes in their order.
        events: Vec<Event>,
        /// Revision from which to go on.
        revision: Revision,
    },
    /// The history after the given revision is gone; list anew.
    Compacted,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// It took effect with this revision.
    Done(Revision),
    /// A condition doesn't hold; the items of the conditions that exist.
    Conflict(Vec<Item>),
}
