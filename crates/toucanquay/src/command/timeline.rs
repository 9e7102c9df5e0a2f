//! `toucanquay timeline`.

use std::{collections::BTreeMap, fs, path::PathBuf};

use clap::Args;
use serde::Serialize;
use toucanquay_model::{Error, ErrorKind};

use super::Output;

/// Orders log lines.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Identifier of a job, a task, a request, a worker or a host; a job's includes its tasks
    id: String,
    /// Log files of the processes
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Form of the output
    #[arg(long, value_enum, default_value_t)]
    output: Output,
}

/// One line of a log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Line {
    unix_ms: u64,
    process: String,
    event: String,
    fields: BTreeMap<String, String>,
}

impl Timeline {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] for a file that can't be read, [`ErrorKind::UnknownJob`] if no
    /// line names the identifier.
    pub fn run(self) -> Result<(), Error> {
        let mut lines = Vec::new();
        for path in &self.files {
            let bytes = fs::read(path).map_err(|cause| {
                Error::new(ErrorKind::InvalidField)
                    .field("file")
                    .value(path.display())
                    .expected("a log that can be read")
                    .context(cause)
            })?;
            // A log that was cut off may end within a character.
            let text = String::from_utf8_lossy(&bytes);
            lines.extend(text.lines().filter_map(Line::parse));
        }
        lines.retain(|line| line.concerns(&self.id));
        if lines.is_empty() {
            return Err(Error::new(ErrorKind::UnknownJob)
                .field("id")
                .value(&self.id)
                .expected("an identifier that a line of these logs names"));
        }
        lines.sort_by_key(|line| line.unix_ms);
        let first_ms = lines[0].unix_ms;
        let header = ["MS", "PROCESS", "EVENT", "DETAILS"];
        self.output
            .print(&header, &lines, |line| line.cells(first_ms));
        Ok(())
    }
}

impl Line {
    /// Reads a line of key=value pairs; whatever stands before the event is passed over.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find("event=")?;
        let mut fields = pairs(&text[start..]);
        let event = fields.remove("event")?;
        let unix_ms = fields.remove("unix_ms")?.parse().ok()?;
        fields.remove("level");
        // An entry's line may name the host that it is about.
        let process = fields.remove("entry").or_else(|| fields.remove("host"));
        Some(Self {
            unix_ms,
            process: process.unwrap_or_default(),
            event,
            fields,
        })
    }

    /// Tells whether a field is the identifier, the name of a part of it, or its key in the store.
    fn concerns(&self, id: &str) -> bool {
        let is_part = |value: &String| {
            let name = value.rsplit('/').next().unwrap_or(value);
            let rest = name.strip_prefix(id);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        self.process == id || self.fields.values().any(is_part)
    }

    fn cells(&self, first_ms: u64) -> Vec<String> {
        let details = self
            .fields
            .iter()
            .map(|(key, value)| format!("{key}={value}"));
        vec![
            format!("+{}", self.unix_ms - first_ms),
            self.process.clone(),
            self.event.clone(),
            details.collect::<Vec<_>>().join(" "),
        ]
    }
}

/// Splits key=value pairs; a value with spaces stands in quotes, in which a backslash escapes.
fn pairs(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut letters = text.chars().peekable();
    while letters.peek().is_some() {
        let key: String = letters
            .by_ref()
            .take_while(|letter| *letter != '=')
            .collect();
        let is_quoted = letters.next_if_eq(&'"').is_some();
        let mut value = String::new();
        while let Some(letter) = letters.next() {
            match letter {
                '\\' if is_quoted => value.extend(letters.next()),
                '"' if is_quoted => break,
                ' ' if !is_quoted => break,
                _ => value.push(letter),
            }
        }
        if is_quoted {
            letters.next_if_eq(&' ');
        }
        fields.insert(key.trim().to_owned(), value);
    }
    fields
}
