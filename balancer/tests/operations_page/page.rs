//! Parsing of Markdown pages: their sections, tables, and names in backticks.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Returns the root folder of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the content of a page in the folder `docs`.
pub fn page(name: &str) -> String {
    let path = root().join("docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the texts in backticks on a page, without its code blocks.
pub fn texts_in_backticks(page: &str) -> Vec<String> {
    let prose: Vec<&str> = page.split("```").step_by(2).collect();
    let texts = prose
        .iter()
        .flat_map(|prose| prose.split('`').skip(1).step_by(2));
    texts.map(str::to_owned).collect()
}

/// Returns whether a text looks like the path of a file or folder of the repository. A text that begins with a slash
/// does not: it is part of a URL or a path on the machine.
pub fn is_repository_path(text: &str) -> bool {
    const EXTENSIONS: [&str; 5] = [".rs", ".toml", ".md", ".sh", ".svg"];
    let is_path = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "/._-".contains(c));
    let has_extension = EXTENSIONS.iter().any(|extension| text.ends_with(extension));
    is_path && !text.starts_with('/') && (text.contains('/') || has_extension)
}

/// Returns the text between a heading and the next one of the same or a higher level.
pub fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let level = heading.bytes().take_while(|b| *b == b'#').count();
    let start = page.find(&format!("\n{heading}\n"));
    let start = start.unwrap_or_else(|| panic!("the page has no {heading:?}"));
    let body = &page[start + heading.len() + 1..];
    let next = body.match_indices("\n#").find(|(at, _)| {
        let hashes = body[at + 1..].bytes().take_while(|b| *b == b'#').count();
        hashes <= level
    });
    next.map_or(body, |(at, _)| &body[..at])
}

/// Returns the rows of a section's tables, each as a list of its cells. Rows that do not begin with a name in backticks
/// are left out.
pub fn rows(section: &str) -> Vec<Vec<&str>> {
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// Returns the names in the first column of a section's tables. Fails if a name occurs twice or a cell is empty.
pub fn names_in_tables(section: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for row in rows(section) {
        assert!(
            row.iter().all(|cell| !cell.is_empty()),
            "an empty cell: {row:?}"
        );
        for name in texts_in_backticks(row[0]) {
            assert!(names.insert(name.clone()), "{name:?} is on the page twice");
        }
    }
    names
}
