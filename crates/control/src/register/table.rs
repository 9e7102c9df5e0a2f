//! Table of the sections that a process holds.

use std::collections::BTreeMap;

use toucanquay_model::{
    Error, Revision, Section,
    section::{Service, State},
};

use super::{SectionVersion, Snapshot, latest_section::LatestSection};

/// Sections of the configuration document by team.
///
/// The register holds a revision if it has all sections up to that revision. It knows a revision if
/// it has learned that the revision exists. Neither ever decreases.
///
/// # Examples
///
/// ```
/// use toucanquay_control::register::{Register, SectionVersion};
///
/// let mut register = Register::new();
/// let text = "[services.lookup]".to_owned();
/// let item = SectionVersion { team: "desk".into(), revision: 5, text: Some(text) };
///
/// assert!(register.apply(item));
/// assert!(!register.is_current());
/// register.advance_to(5);
/// assert!(register.is_current());
/// assert_eq!(register.service("lookup").unwrap().0, "desk");
/// ```
#[derive(Debug, Clone, Default)]
pub struct Register {
    sections: BTreeMap<String, LatestSection>,
    revision: Revision,
    revision_known: Revision,
}

impl Register {
    /// Returns an empty register, which holds revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a section and returns whether it is newer than the one held.
    ///
    /// The held revision does not change, since older sections of other teams may be missing:
    /// [`Self::advance_to`] raises it. A text that can't be parsed is stored and passed on, while
    /// the team's previous section stays in force; see [`Self::parse_error`].
    pub fn apply(&mut self, item: SectionVersion) -> bool {
        self.observe_revision(item.revision);
        let former = self.sections.get(&item.team);
        if former.is_some_and(|former| former.revision >= item.revision) {
            return false;
        }
        let parsed = item
            .text
            .as_ref()
            .map(|text| Section::parse(&item.team, text))
            .transpose();
        let (section, parse_error) = match parsed {
            Ok(section) => (section, None),
            Err(parse_error) => (
                former.and_then(|latest_section| latest_section.section.clone()),
                Some(parse_error),
            ),
        };
        let latest_section = LatestSection {
            revision: item.revision,
            text: item.text,
            section,
            parse_error,
        };
        self.sections.insert(item.team, latest_section);
        true
    }

    /// Records that all sections up to `revision` have been applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
        self.observe_revision(revision);
    }

    /// Applies a snapshot that was requested with a revision held by this register. Returns whether
    /// a section changed.
    pub fn merge(&mut self, snapshot: Snapshot) -> bool {
        let mut is_changed = false;
        for item in snapshot.items {
            is_changed |= self.apply(item);
        }
        self.advance_to(snapshot.revision);
        is_changed
    }

    /// Records that `revision` exists.
    pub fn observe_revision(&mut self, revision: Revision) {
        self.revision_known = self.revision_known.max(revision);
    }

    /// Returns the revision up to which all sections are held.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the highest revision known to exist.
    #[must_use]
    pub const fn revision_known(&self) -> Revision {
        self.revision_known
    }

    /// Returns whether no higher revision is known than the one held.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.revision >= self.revision_known
    }

    /// Returns the section of `team` in force.
    #[must_use]
    pub fn section(&self, team: &str) -> Option<&Section> {
        self.sections.get(team)?.section.as_ref()
    }

    /// Returns the sections in force, ordered by team.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &Section)> {
        self.sections.iter().filter_map(|(team, latest_section)| {
            Some((team.as_str(), latest_section.section.as_ref()?))
        })
    }

    /// Returns the revision of the section of `team`, including a removed one.
    #[must_use]
    pub fn section_revision(&self, team: &str) -> Option<Revision> {
        Some(self.sections.get(team)?.revision)
    }

    /// Returns the text of the newest section of `team`.
    #[must_use]
    pub fn text(&self, team: &str) -> Option<&str> {
        self.sections.get(team)?.text.as_deref()
    }

    /// Returns the state of `team`, or `None` if it never had a valid section. A team whose section
    /// was removed is leaving.
    #[must_use]
    pub fn state(&self, team: &str) -> Option<State> {
        let latest_section = self.sections.get(team)?;
        if latest_section.text.is_none() {
            return Some(State::Leaving);
        }
        latest_section.section.as_ref().map(|section| section.state)
    }

    /// Returns the error of parsing the newest text of `team`, if it is invalid.
    #[must_use]
    pub fn parse_error(&self, team: &str) -> Option<&Error> {
        self.sections.get(team)?.parse_error.as_ref()
    }

    /// Returns the service `name` with its team and section. If concurrent edits made two teams
    /// claim it, every process picks the team that sorts first.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<(&str, &Section, &Service)> {
        self.sections()
            .find_map(|(team, section)| Some((team, section, section.services.get(name)?)))
    }

    /// Returns the sections newer than `after`, including removed ones, in ascending order of
    /// revision.
    #[must_use]
    pub fn snapshot(&self, after: Revision) -> Snapshot {
        let mut items: Vec<SectionVersion> = self
            .sections
            .iter()
            .filter(|(_, latest_section)| latest_section.revision > after)
            .map(|(team, latest_section)| SectionVersion {
                team: team.clone(),
                revision: latest_section.revision,
                text: latest_section.text.clone(),
            })
            .collect();
        items.sort_by_key(|item| item.revision);
        Snapshot {
            revision: self.revision,
            items,
        }
    }

    /// Returns the oldest part of [`Self::snapshot`]: at most `bytes_max` bytes of text, but at
    /// least one section. Its revision is the one that the receiver then holds.
    #[must_use]
    pub fn page(&self, after: Revision, bytes_max: usize) -> Snapshot {
        let mut snapshot = self.snapshot(after);
        let mut bytes = 0;
        let fitting_items = snapshot.items.iter().take_while(|item| {
            bytes += item.team.len() + item.text.as_ref().map_or(0, String::len);
            bytes <= bytes_max
        });
        let length = fitting_items.count().max(1);
        if length < snapshot.items.len() {
            snapshot.items.truncate(length);
            let last = snapshot.items[length - 1].revision;
            snapshot.revision = snapshot.revision.min(last);
        }
        snapshot
    }
}
