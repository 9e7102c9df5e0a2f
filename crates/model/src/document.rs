//! The configuration document: the sections of all teams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind, Section, job, toml_error};

/// Configuration of all teams, which an operator keeps in a TOML file with a table `[teams.<name>]`
/// for each team.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Document;
///
/// let document = Document::parse("[teams.desk.services.lookup]\ndeadline_ms = 500\n").unwrap();
/// assert_eq!(document.owner_of("lookup"), Some("desk"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Sections by team.
    #[serde(default)]
    pub teams: BTreeMap<String, Section>,
}

impl Document {
    /// Parses a document from TOML text and validates it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::MalformedBody`] with line and column if the text is not valid TOML or has an
    /// unknown field; [`ErrorKind::InvalidField`] if a value is out of bounds or two teams define
    /// the same service.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let document: Self = toml::from_str(text).map_err(|cause| {
            Error::new(ErrorKind::MalformedBody)
                .expected("a TOML document with a table for each team")
                .context(toml_error::describe(&cause))
        })?;
        document.check()?;
        Ok(document)
    }

    /// Validates each section and checks that no two teams define the same service.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] with the first invalid field.
    pub fn check(&self) -> Result<(), Error> {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (team, section) in &self.teams {
            job::check_name("team", team)?;
            section.check(team)?;
            for service in section.services.keys() {
                if let Some(other) = owners.insert(service, team) {
                    return Err(Error::new(ErrorKind::InvalidField)
                        .field(format!("{team}.services"))
                        .value(service)
                        .expected(format!("a service that team {other} does not claim")));
                }
            }
        }
        Ok(())
    }

    /// Returns the team whose section defines `service`.
    #[must_use]
    pub fn owner_of(&self, service: &str) -> Option<&str> {
        self.teams
            .iter()
            .find(|(_, section)| section.services.contains_key(service))
            .map(|(team, _)| team.as_str())
    }
}
