//! Plain-text tables.

use std::fmt;

/// Table with left-aligned columns, each as wide as its widest cell.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|&cell| cell.to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Appends a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in &self.rows {
            widths.resize(widths.len().max(row.len()), 0);
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
