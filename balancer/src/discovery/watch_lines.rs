//! Splits the data of a watch into lines.

use super::endpoint_list::{EndpointListError, MAX_LIST_BYTES};
use bytes::{Bytes, BytesMut};
use serde_json::value::RawValue;

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// An empty line: no changes.
    Heartbeat,
    /// The text of a list.
    List(Bytes),
}

/// The state of the scan in a JSON text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    #[default]
    OutsideString,
    InString,
    /// After a backslash in a string.
    InEscape,
}

/// Splits received data into the lines of a watch. A list may span several lines of text, none of them empty.
#[derive(Default)]
pub struct WatchLines {
    buffer: BytesMut,
    /// How many bytes of the buffer have been scanned.
    scanned: usize,
    scan_state: ScanState,
    /// How many braces and brackets are open at that position.
    depth: usize,
    /// The number of complete text lines of the current list.
    ended_lines: usize,
    /// Whether the current text line contains anything but white space.
    has_content: bool,
}

impl WatchLines {
    /// Whether part of a list has been received; white space alone does not count.
    pub fn has_partial_list(&self) -> bool {
        self.has_content || self.ended_lines > 0
    }

    /// Adds received data.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next complete line.
    pub fn next_line(&mut self) -> Result<Option<WatchLine>, EndpointListError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if byte == b'\n' {
                if let Some(line) = self.on_text_line_end()? {
                    return Ok(Some(line));
                }
                continue;
            }
            self.has_content |= !byte.is_ascii_whitespace();
            self.scan(byte);
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            Err(EndpointListError::TooLong)
        } else {
            Ok(None)
        }
    }

    fn scan(&mut self, byte: u8) {
        match self.scan_state {
            ScanState::InEscape => self.scan_state = ScanState::InString,
            ScanState::InString => match byte {
                b'"' => self.scan_state = ScanState::OutsideString,
                b'\\' => self.scan_state = ScanState::InEscape,
                _ => {}
            },
            ScanState::OutsideString => match byte {
                b'"' => self.scan_state = ScanState::InString,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            },
        }
    }

    /// Handles the end of a text line: it is a heartbeat, it completes a list, or the list continues.
    fn on_text_line_end(&mut self) -> Result<Option<WatchLine>, EndpointListError> {
        let had_content = std::mem::take(&mut self.has_content);
        self.ended_lines += 1;
        let in_string = self.scan_state != ScanState::OutsideString;
        if self.depth == 0 && !in_string {
            let text = self.buffer.split_to(self.scanned).freeze();
            let is_list = had_content || self.ended_lines > 1;
            *self = Self {
                buffer: std::mem::take(&mut self.buffer),
                ..Self::default()
            };
            return Ok(Some(if is_list {
                WatchLine::List(text)
            } else {
                WatchLine::Heartbeat
            }));
        }
        let is_invalid =
            !had_content || in_string || (self.ended_lines == 1 && self.is_invalid_so_far());
        if is_invalid {
            Err(EndpointListError::Truncated)
        } else {
            Ok(None)
        }
    }

    /// Whether the text is invalid JSON, whatever follows it.
    fn is_invalid_so_far(&self) -> bool {
        let parsed = serde_json::from_slice::<&RawValue>(&self.buffer[..self.scanned]);
        parsed.is_err_and(|error| !error.is_eof())
    }
}
