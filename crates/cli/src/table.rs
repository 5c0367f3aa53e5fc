//! Tables with aligned columns, and text of cells.

use std::fmt;

const COLUMN_SEPARATOR: &str = "  ";

/// Table with a header row and aligned columns.
#[derive(Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Builds a table that has only the header row.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|&name| name.to_owned()).collect()] }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, row) in self.rows.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                line.push_str(&format!("{cell:width$}{COLUMN_SEPARATOR}"));
            }
            f.write_str(line.trim_end())?;
        }
        Ok(())
    }
}

/// Returns the value as text, or `-` if there is none.
pub fn or_dash<T: fmt::Display>(value: Option<&T>) -> String {
    value.map_or_else(|| "-".to_owned(), ToString::to_string)
}

/// Escapes control characters and other special characters, so that the text can be printed on a terminal.
pub fn printable(text: &str) -> String {
    text.escape_debug().to_string()
}
