//! Transcripts of the bytes on the wire, and their comparison with the committed files.

use crate::TIME_LEFT_MS;
use std::fmt::Write as _;
use std::io::Write as _;
use std::path::PathBuf;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// The date that an upstream of these tests sends. It is not masked, because it must be forwarded unchanged.
const FIXED_DATE: &str = "Thu, 01 Jan 1970 00:00:00 GMT";

/// The recorded bytes, in the format of the committed files. Every byte is shown: each line on the wire is one line of
/// the file, which ends with the escaped `\r\n`, and bytes other than printable ASCII are escaped.
pub struct Transcript {
    name: &'static str,
    text: String,
}

impl Transcript {
    /// Creates an empty transcript to be compared with the file of this name.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            text: String::new(),
        }
    }

    /// Adds bytes under a heading, without masking.
    pub fn add(&mut self, heading: &str, bytes: &[u8]) {
        writeln!(self.text, "== {heading}").unwrap();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            writeln!(self.text, "{}", line.escape_ascii()).unwrap();
        }
    }

    /// Adds bytes under a heading, and masks the header values that vary between runs.
    pub fn add_received(&mut self, heading: &str, bytes: &[u8]) {
        self.add(heading, &mask(bytes));
    }

    /// Compares the complete transcript with the committed file, or writes the file if `WIRE_FIXTURES` is `write`.
    pub fn check(self) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/data/wire")
            .join(self.name);
        if std::env::var_os("WIRE_FIXTURES").is_some_and(|value| value == "write") {
            std::fs::write(&path, &self.text).unwrap();
            panic!("{} was written, and nothing was compared", self.name);
        }
        let committed = std::fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for (index, (actual, expected)) in self.text.lines().zip(committed.lines()).enumerate() {
            assert_eq!(
                actual,
                expected,
                "{} line {}: actual (left) and committed (right)",
                self.name,
                index + 1
            );
        }
        assert_eq!(self.text, committed, "{}", self.name);
    }
}

/// Masks the header values of a message that vary between runs.
fn mask(bytes: &[u8]) -> Vec<u8> {
    let head_length = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map_or(bytes.len(), |start| start + HEAD_END.len());
    let mut masked = Vec::new();
    for line in bytes[..head_length].split_inclusive(|byte| *byte == b'\n') {
        let text = String::from_utf8(line.to_vec()).expect("a head in ASCII");
        let value = text
            .split_once(": ")
            .map(|(name, value)| (name, value.trim_end_matches("\r\n")));
        let value = value.and_then(|(name, value)| Some((name, mask_value(name, value)?)));
        match value {
            Some((name, value)) => write!(masked, "{name}: {value}\r\n").unwrap(),
            None => masked.extend_from_slice(line),
        }
    }
    masked.extend_from_slice(&bytes[head_length..]);
    masked
}

/// Returns the masked value of a header; `None` if the value does not vary:
/// - a `date` other than [`FIXED_DATE`] becomes `<date>`;
/// - the `x-time-left-ms` that the balancer sends becomes `<ms>`, after a check of its range;
/// - each digit of a `retry-after` becomes `#`;
/// - the port of a `host` at 127.0.0.1 becomes `<port>`.
fn mask_value(name: &str, value: &str) -> Option<String> {
    match name {
        "date" if value != FIXED_DATE => Some("<date>".to_owned()),
        "x-time-left-ms" => {
            let time_left_ms: u64 = value.parse().expect("a time left in integer milliseconds");
            assert!(
                time_left_ms > 0 && time_left_ms < TIME_LEFT_MS,
                "{time_left_ms}"
            );
            Some("<ms>".to_owned())
        }
        "retry-after" => Some(value.replace(|character: char| character.is_ascii_digit(), "#")),
        "host" => value
            .starts_with("127.0.0.1:")
            .then(|| "127.0.0.1:<port>".to_owned()),
        _ => None,
    }
}
