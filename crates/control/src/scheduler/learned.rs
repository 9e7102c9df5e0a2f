//! What ended attempts of one program have told.

use toucanquay_policy::duration::{Ratios, Trials};

/// What ended attempts of one program have told.
#[derive(Debug, Clone, Default)]
pub(super) struct Learned {
    pub(super) ratios: Ratios,
    pub(super) trials: Trials,
}
