//! The report of a run: its events as JSON lines, its outcome as JSON, and an HTML page with plots.

mod html;
mod plot;
mod size_plot;

pub use size_plot::size_plot;

use crate::runs::RunOutcome;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

/// Writes `events.jsonl`, `result.json` and `report.html` into a folder, and returns the path of
/// the HTML page.
pub fn write_report(outcome: &RunOutcome, dir: &Path) -> io::Result<PathBuf> {
    let mut lines = BufWriter::new(File::create(dir.join("events.jsonl"))?);
    for event in &outcome.events {
        serde_json::to_writer(&mut lines, event)?;
        lines.write_all(b"\n")?;
    }
    lines.flush()?;
    std::fs::write(
        dir.join("result.json"),
        serde_json::to_string_pretty(outcome)?,
    )?;
    let page = dir.join("report.html");
    std::fs::write(&page, html::page(outcome))?;
    Ok(page)
}
