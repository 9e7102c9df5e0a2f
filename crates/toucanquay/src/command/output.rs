//! Output formats.

use clap::ValueEnum;
use serde::Serialize;

use crate::table::Table;

/// Output format of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Human-readable table
    #[default]
    Table,
    /// JSON array
    Json,
}

impl Output {
    /// Prints `rows`. In a table, `cells` returns the columns of a row.
    pub fn print<T: Serialize>(
        self,
        header: &[&str],
        rows: &[T],
        cells: impl Fn(&T) -> Vec<String>,
    ) {
        match self {
            Self::Table => {
                let mut table = Table::new(header);
                for row in rows {
                    table.push(cells(row));
                }
                print!("{table}");
            }
            Self::Json => {
                let text = serde_json::to_string_pretty(rows)
                    .expect("rows serialize to JSON, since all map keys are strings");
                println!("{text}");
            }
        }
    }
}
