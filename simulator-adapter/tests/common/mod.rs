//! Runs the adapter as a process and parses the data of the fixtures.

#![allow(
    dead_code,
    clippy::expect_used,
    reason = "no test file uses all of this module; a test fails by panicking"
)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Starts the adapter, writes `input` to its standard input and returns its output after it has exited.
pub fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostkeel-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("a piped standard input");
    let input = input.to_owned();
    // The input may exceed the pipe's buffer, so a thread writes it while the output is read. After a malformed frame
    // the adapter closes its input, which makes the rest of the write fail. Write errors are therefore ignored.
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    output
}

/// Returns the frame of a batch with this time and these encoded records.
pub fn frame(clock_ms: f64, records: &[u8]) -> Vec<u8> {
    let length = (8 + records.len() as u32).to_be_bytes();
    [&length[..], &clock_ms.to_be_bytes(), records].concat()
}

/// Splits the output of the adapter into its replies, in order and without their length fields.
pub fn split_replies(output: &[u8]) -> Vec<Vec<u8>> {
    let mut replies = Vec::new();
    let mut rest = output;
    while let Some((length, tail)) = rest.split_first_chunk() {
        let (reply, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
        replies.push(reply.to_vec());
        rest = tail;
    }
    assert!(rest.is_empty(), "the output ends within a length field");
    replies
}

/// Returns the line that the adapter wrote to standard error, without the program's name. Panics unless the adapter
/// exited with code 1 and wrote exactly one line.
pub fn error_message(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    let line = text.strip_suffix('\n').filter(|line| !line.contains('\n'));
    let message = line.and_then(|line| line.strip_prefix("frostkeel-simulator-adapter: "));
    message
        .unwrap_or_else(|| panic!("expected one line with the program's name, got: {text}"))
        .to_owned()
}

/// Parses hexadecimal digits. Spaces are skipped, and so are comments from `#` to the end of the line.
pub fn parse_hex(text: &str) -> Vec<u8> {
    let line_digits = |line: &str| line.split('#').next().unwrap_or("").replace(' ', "");
    let digits: String = text.lines().map(line_digits).collect();
    assert!(
        digits.len().is_multiple_of(2),
        "odd number of digits in {digits}"
    );
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// A line of a fixture in the form `DIGITS  # NAME`, with hexadecimal digits.
#[derive(Debug)]
pub struct NamedBytes {
    /// The name of the record, action or frame that the bytes encode.
    pub name: &'static str,
    /// The bytes that `DIGITS` encodes.
    pub bytes: Vec<u8>,
}

/// Parses a fixture in which each line has the form `DIGITS  # NAME`.
pub fn parse_named_hex(text: &'static str) -> Vec<NamedBytes> {
    let parse = |line: &'static str| {
        let (digits, name) = line.split_once("  # ").expect("digits and a name");
        NamedBytes {
            name,
            bytes: parse_hex(digits),
        }
    };
    text.lines().map(parse).collect()
}
