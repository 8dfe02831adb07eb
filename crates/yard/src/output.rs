//! How results are written.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// Form of a result on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Table,
    /// For programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not a format: table or json")),
        }
    }
}

impl fmt::Display for OutputFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
        })
    }
}

/// Writes `value` as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).expect("results have a JSON form");
    println!("{text}");
}

/// Lines with columns of equal width; the first row holds the heads.
pub(crate) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// A span of time in the unit that suits it.
pub(crate) fn show_age(millis: u64) -> String {
    match millis {
        0..1_000 => format!("{millis} ms"),
        1_000..120_000 => format!("{} s", millis / 1_000),
        120_000..7_200_000 => format!("{} min", millis / 60_000),
        7_200_000..172_800_000 => format!("{} h", millis / 3_600_000),
        _ => format!("{} d", millis / 86_400_000),
    }
}
