//! The events that the code can log, parsed from the calls of the logging macros in its source files.

use super::page::root;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Events by name and level, with their fields.
pub type Events = BTreeMap<(String, &'static str), BTreeSet<String>>;

/// Returns the level of this name.
pub fn level_named(name: &str) -> &'static str {
    let known = LEVELS.iter().find(|level| **level == name);
    known.unwrap_or_else(|| panic!("the level must be one of {LEVELS:?}, got {name:?}"))
}

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    let entries = fs::read_dir(folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    for entry in entries {
        let path = entry.expect("an entry of a folder").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns the contents of all source files in these folders.
pub fn sources(folders: &[&str]) -> Vec<String> {
    let mut files = Vec::new();
    for folder in folders {
        collect_sources(&root().join(folder), &mut files);
    }
    let read = |file: &PathBuf| fs::read_to_string(file).expect("a source file");
    files.iter().map(read).collect()
}

/// Reads the rest of a string literal, after its opening quote, up to and including its closing quote.
fn rest_of_string(characters: &mut impl Iterator<Item = char>) -> String {
    let mut text = String::new();
    while let Some(c) = characters.next() {
        text.push(c);
        match c {
            '\\' => text.extend(characters.next()),
            '"' => break,
            _ => {}
        }
    }
    text
}

/// Returns the arguments of a call of a macro or a function. `text` starts after the opening parenthesis.
pub fn macro_arguments(text: &str) -> Vec<String> {
    let (mut arguments, mut argument, mut depth) = (Vec::new(), String::new(), 0_u32);
    let mut characters = text.chars().peekable();
    while let Some(c) = characters.next() {
        match c {
            '/' if characters.peek() == Some(&'/') => {
                characters.by_ref().find(|c| *c == '\n');
                continue;
            }
            ',' if depth == 0 => {
                arguments.push(std::mem::take(&mut argument));
                continue;
            }
            ')' if depth == 0 => break,
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        argument.push(c);
        if c == '"' {
            argument.push_str(&rest_of_string(&mut characters));
        }
    }
    arguments.push(argument);
    let trimmed = arguments.iter().map(|argument| argument.trim());
    trimmed
        .filter(|a| !a.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Returns the text of a string literal, with its line continuations joined.
fn joined_lines(literal: &str) -> String {
    let mut lines = literal.split("\\\n");
    let first = lines.next().unwrap_or_default().to_owned();
    lines.fold(first, |text, line| text + line.trim_start())
}

/// Returns the name and the fields of the event that a logging call with these arguments logs. The name is the first
/// argument that is a string literal. The arguments before it are the fields; those after it fill its placeholders.
pub fn event_of(arguments: &[String]) -> (String, BTreeSet<String>) {
    let mut fields = BTreeSet::new();
    for argument in arguments {
        if let Some(name) = argument.strip_prefix('"') {
            return (joined_lines(name.trim_end_matches('"')), fields);
        }
        let name = argument.split('=').next().unwrap_or_default().trim();
        fields.insert(name.trim_start_matches(['?', '%']).to_owned());
    }
    (String::new(), fields)
}

/// Returns the level and the arguments of each logging call in a source file.
pub fn logging_calls(source: &str) -> Vec<(&'static str, Vec<String>)> {
    let mut calls = Vec::new();
    for level in LEVELS {
        let call = format!("{level}!(");
        for (at, _) in source.match_indices(&call) {
            let before = source[..at].chars().next_back();
            if !before.is_some_and(|c| c.is_alphanumeric() || c == '_') {
                calls.push((level, macro_arguments(&source[at + call.len()..])));
            }
        }
    }
    calls
}

/// Returns all events that the source files in these folders can log.
pub fn events_in_code(folders: &[&str]) -> Events {
    let mut events = Events::new();
    for source in sources(folders) {
        for (level, arguments) in logging_calls(&source) {
            let (name, fields) = event_of(&arguments);
            events.entry((name, level)).or_default().extend(fields);
        }
    }
    events
}
