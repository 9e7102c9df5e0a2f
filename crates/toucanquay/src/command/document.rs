//! The `document` subcommand.

use std::{
    io::Read,
    path::{Path, PathBuf},
};

use clap::Subcommand;
use reqwest::Method;
use serde_json::json;
use toucanquay_entry::operator::{AcceptedEdit, InForce, StoredSection};
use toucanquay_model::{self as model, Error, ErrorKind, Revision, job};

use super::{Output, Target};

/// Commands for the configuration document.
#[derive(Debug, Subcommand)]
pub enum Document {
    /// Validate a document file offline, without calling an entry
    Check {
        /// Document file, or `-` for standard input
        file: PathBuf,
    },
    /// List the sections with their revisions, or print one section
    Get {
        /// Team whose section to print
        team: Option<String>,
        #[command(flatten)]
        target: Target,
    },
    /// Replace one section
    Apply {
        /// Team whose section to replace
        team: String,
        /// Section file, or `-` for standard input
        file: PathBuf,
        /// Revision that the edit is based on; 0 for a new section
        #[arg(long)]
        revision: Revision,
        /// Author of the edit, named in the error that a conflicting edit gets
        #[arg(long, env = "TOUCANQUAY_AUTHOR", default_value = "unnamed")]
        author: String,
        #[command(flatten)]
        target: Target,
    },
    /// Wait until a revision is in force on all processes
    Wait {
        /// Revision to wait for
        revision: Revision,
        /// Maximum time to wait, in milliseconds
        #[arg(long, default_value_t = 14_000)]
        timeout_ms: u64,
        #[command(flatten)]
        target: Target,
    },
}

impl Document {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// The error that the entry returned, the error that kept the command from reaching it, or the
    /// error of an invalid file or argument.
    pub async fn run(self) -> Result<(), Error> {
        match self {
            Self::Check { file } => check(&file),
            Self::Get { team, target } => get(team.as_deref(), &target).await,
            Self::Apply {
                team,
                file,
                revision,
                author,
                target,
            } => {
                let body =
                    json!({ "text": read_file(&file)?, "expected": revision, "author": author });
                let request = target
                    .entry_client()
                    .request(Method::PUT, &section_path(&team)?)
                    .json(&body);
                let accepted: AcceptedEdit = target.entry_client().fetch_json(request).await?;
                println!("revision {}", accepted.revision);
                Ok(())
            }
            Self::Wait {
                revision,
                timeout_ms,
                target,
            } => wait(revision, timeout_ms, &target).await,
        }
    }
}

/// Reads a text file, or standard input for `-`.
///
/// # Errors
///
/// [`ErrorKind::InvalidField`] when the file can't be read.
pub fn read_file(file: &Path) -> Result<String, Error> {
    let mut text = String::new();
    let result = if file == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_bytes| ())
    } else {
        std::fs::read_to_string(file).map(|content| text = content)
    };
    result.map_err(|cause| {
        Error::new(ErrorKind::InvalidField)
            .field("file")
            .value(file.display())
            .expected("a readable text file")
            .context(cause)
    })?;
    Ok(text)
}

fn check(file: &Path) -> Result<(), Error> {
    let document = model::Document::parse(&read_file(file)?)?;
    println!("{} sections are valid", document.teams.len());
    Ok(())
}

async fn get(team: Option<&str>, target: &Target) -> Result<(), Error> {
    if let Some(team) = team {
        let request = target
            .entry_client()
            .request(Method::GET, &section_path(team)?);
        let section: StoredSection = target.entry_client().fetch_json(request).await?;
        if target.output == Output::Table {
            print!("{}", section.text);
            return Ok(());
        }
        target.output.print(&[], &[section], |_| Vec::new());
        return Ok(());
    }
    let request = target.entry_client().request(Method::GET, "/document");
    let sections: Vec<StoredSection> = target.entry_client().fetch_json(request).await?;
    let header = ["TEAM", "REVISION", "AUTHOR", "BYTES"];
    target.output.print(&header, &sections, |section| {
        vec![
            section.team.clone(),
            section.revision.to_string(),
            section.author.clone(),
            section.text.len().to_string(),
        ]
    });
    Ok(())
}

async fn wait(revision: Revision, timeout_ms: u64, target: &Target) -> Result<(), Error> {
    let path = format!("/document-in-force?revision={revision}&timeout_ms={timeout_ms}");
    let request = target.entry_client().request(Method::GET, &path);
    let state: InForce = target.entry_client().fetch_json(request).await?;
    if state.is_in_force {
        println!("revision {} is in force", state.revision);
        return Ok(());
    }
    Err(Error::new(ErrorKind::PeerUnavailable)
        .value(state.lagging.join(", "))
        .expected(format!("revision {revision} within {timeout_ms} ms")))
}

fn section_path(team: &str) -> Result<String, Error> {
    job::check_name("team", team)?;
    Ok(format!("/document/{team}"))
}
