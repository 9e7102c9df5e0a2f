//! Why tasks don't wait for a near place.

/// Why tasks don't wait, or no longer wait, for a near place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A run elsewhere takes hardly longer.
    NoGain,
    /// The job misses its objective in any case.
    Late,
    /// The deadline of the wait has passed.
    Deadline,
    /// The rack isn't expected to have room for all of the tasks in time.
    Full,
    /// No host of the rack accepts the tasks.
    Lost,
    /// Another task of the step runs elsewhere, so that the step doesn't end sooner.
    Sibling,
}

impl Reason {
    /// Returns the name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoGain => "no_gain",
            Self::Late => "late",
            Self::Deadline => "deadline",
            Self::Full => "near_full",
            Self::Lost => "near_lost",
            Self::Sibling => "sibling_far",
        }
    }
}
