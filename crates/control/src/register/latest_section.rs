//! The section of one team.

use toucanquay_model::{Error, Revision, Section};

/// The section of one team at its highest revision.
#[derive(Debug, Clone)]
pub(super) struct LatestSection {
    /// Revision of the text.
    pub(super) revision: Revision,
    /// The text, passed on as it came; none when the section was removed.
    pub(super) text: Option<String>,
    /// The section in force: that of the newest text that could be read.
    pub(super) section: Option<Section>,
    /// Why the text could not be read.
    pub(super) parse_error: Option<Error>,
}
