//! Latest sections of teams.

use toucanquay_model::{Error, Revision, Section};

/// The section of one team at its highest known revision.
#[derive(Debug, Clone)]
pub(super) struct LatestSection {
    /// Revision of the text.
    pub(super) revision: Revision,
    /// The unmodified text, which is passed on, or `None` if the section was removed.
    pub(super) text: Option<String>,
    /// The section in force, parsed from the newest valid text.
    pub(super) section: Option<Section>,
    /// Why the text is invalid, if it is.
    pub(super) parse_error: Option<Error>,
}
