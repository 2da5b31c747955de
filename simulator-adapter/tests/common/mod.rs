//! Runs the adapter as a process, and reads the data of the fixtures.

#![allow(
    dead_code,
    clippy::expect_used,
    reason = "no test file uses all of it; a test fails by panicking"
)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Writes the input to a new adapter and waits for its end.
pub fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostkeel-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its input");
    let input = input.to_owned();
    // The input may be longer than what the pipes hold, so it is written while the output is read. A pipe that the
    // adapter has closed after an error is no error of the test.
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    output
}

/// A batch with these records, one after the other.
pub fn frame(clock_ms: f64, records: &[u8]) -> Vec<u8> {
    let length = (8 + records.len() as u32).to_be_bytes();
    [&length[..], &clock_ms.to_be_bytes(), records].concat()
}

/// The replies in order, without their length fields.
pub fn split_replies(output: &[u8]) -> Vec<Vec<u8>> {
    let mut replies = Vec::new();
    let mut rest = output;
    while let Some((length, tail)) = rest.split_first_chunk() {
        let (reply, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
        replies.push(reply.to_vec());
        rest = tail;
    }
    assert!(rest.is_empty(), "part of a length field");
    replies
}

/// The one line on standard error of an adapter that has ended with code 1, without the program's name.
pub fn error_message(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    let line = text.strip_suffix('\n').filter(|line| !line.contains('\n'));
    let message = line.and_then(|line| line.strip_prefix("frostkeel-simulator-adapter: "));
    message
        .unwrap_or_else(|| panic!("not one line that begins with the program's name: {text}"))
        .to_owned()
}

/// Parses hexadecimal digits; blanks, and what follows `#` on a line, are skipped.
pub fn parse_hex(text: &str) -> Vec<u8> {
    let line_digits = |line: &str| line.split('#').next().unwrap_or("").replace(' ', "");
    let digits: String = text.lines().map(line_digits).collect();
    assert!(digits.len().is_multiple_of(2), "half a byte in {digits}");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// A line of a file of hexadecimal digits, `DIGITS  # NAME`.
#[derive(Debug)]
pub struct NamedBytes {
    /// What the line shows.
    pub name: &'static str,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Parses each line of a file.
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
