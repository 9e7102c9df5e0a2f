//! Form of a command's output.

use clap::ValueEnum;
use serde::Serialize;

use crate::table::Table;

/// Form of a command's output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// A table for people
    #[default]
    Table,
    /// JSON for programs
    Json,
}

impl Output {
    /// Prints `rows`, each as a line of the table that `cells` makes of it.
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
                    .expect("the rows are plain data with string keys");
                println!("{text}");
            }
        }
    }
}
