//! What sets the deadline of a wait.

/// What sets the deadline of a wait for a near place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Beyond it, the tasks would have ended sooner elsewhere.
    Gain,
    /// Up to it, the job meets its objective even if the tasks then start elsewhere.
    Objective,
    /// Beyond it, the job would miss its objective near its data, too. Elsewhere it would miss it in
    /// any case.
    LastChance,
    /// Longest time for which tasks may wait while there is room elsewhere.
    Limit,
}

impl Bound {
    /// Returns the name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Gain => "gain",
            Self::Objective => "objective",
            Self::LastChance => "last_chance",
            Self::Limit => "limit",
        }
    }
}
