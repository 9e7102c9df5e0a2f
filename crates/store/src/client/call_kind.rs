//! Kinds of calls.

/// Kind of a call, as metrics name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Get,
    Range,
    Put,
    Delete,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
    /// A look at the changes of a key.
    History,
}

impl CallKind {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Range => "range",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Grant => "grant",
            Self::KeepAlive => "keep_alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
            Self::History => "history",
        }
    }

    /// Tells whether a stale answer could make the caller's view go back.
    pub(crate) const fn requires_fresh_revision(self) -> bool {
        matches!(self, Self::Get | Self::Range)
    }

    /// Tells whether the store holds the call until there is something to tell.
    pub(crate) const fn is_long_poll(self) -> bool {
        matches!(self, Self::Watch)
    }

    /// Tells whether the call may not wait behind others.
    pub(crate) const fn is_urgent(self) -> bool {
        matches!(self, Self::KeepAlive)
    }
}
