//! Replies of the store.

use toucanquay_model::Revision;

use super::{Event, Item};

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The requested item, if it exists.
    Item(Option<Item>),
    /// One page of items.
    Page(Page),
    /// Changes since a revision.
    Watch(Watch),
    /// Outcome of a transaction.
    Commit(Commit),
}

/// One page of items by prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Items sorted by key.
    pub items: Vec<Item>,
    /// Keys of the items that can't be read. Empty for an item whose key can't be read.
    pub unreadable: Vec<String>,
    /// More items follow the last one.
    pub has_more: bool,
    /// Revision of the store when the page was read.
    pub revision: Revision,
}

impl Page {
    /// Returns the last key that can be read.
    pub(super) fn last_key(&self) -> Option<&str> {
        let last_item = self.items.last().map(|item| item.key.as_str());
        let unreadable = self.unreadable.iter().map(String::as_str);
        let keys = unreadable.filter(|key| !key.is_empty()).chain(last_item);
        keys.max()
    }
}

/// All items by prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct List {
    /// Items sorted by key.
    pub items: Vec<Item>,
    /// Keys of the items that can't be read. Empty for an item whose key can't be read.
    pub unreadable: Vec<String>,
    /// Revision after which to watch in order not to miss changes.
    pub revision: Revision,
}

/// Changes since a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watch {
    /// The changes, if any.
    Events {
        /// The changes in the order in which they happened.
        events: Vec<Event>,
        /// Revision from which to continue the watch.
        revision: Revision,
    },
    /// The history after the given revision was compacted. The caller must list the items again.
    Compacted,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The transaction was committed at this revision.
    Done(Revision),
    /// A condition doesn't hold.
    Conflict {
        /// Current items of those keys in conditions that exist. The value is empty if it can't be
        /// read.
        items: Vec<Item>,
        /// Keys in conditions that exist, or may exist, and whose revision can't be read.
        unreadable: Vec<String>,
    },
}
