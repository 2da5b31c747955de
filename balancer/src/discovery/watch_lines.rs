//! The splitting of the data of a watch into lines.

use super::endpoint_list::{EndpointListError, MAX_LIST_BYTES};
use bytes::{Bytes, BytesMut};
use serde_json::value::RawValue;

/// One line of a watch, as opposed to one line of text: a list is one line even if its JSON text has line breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// An empty line, which means that the list has not changed.
    Heartbeat,
    /// The JSON text of a list.
    List(Bytes),
}

/// The state of the scan of a JSON text, which finds the strings in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    #[default]
    OutsideString,
    InString,
    /// Directly after a backslash in a string.
    InEscape,
}

/// A parser that splits received data into the lines of a watch. A list may span several lines of text, none of them
/// empty.
#[derive(Default)]
pub struct WatchLines {
    buffer: BytesMut,
    /// The number of bytes of the buffer that have been scanned.
    scanned: usize,
    scan_state: ScanState,
    /// The number of braces and brackets that are open after the scanned bytes.
    depth: usize,
    /// The number of complete text lines of the current list.
    complete_text_lines: usize,
    /// Whether the current text line contains anything but white space.
    has_content: bool,
}

impl WatchLines {
    /// Returns whether part of a list has been received; white space alone does not count.
    pub fn has_partial_list(&self) -> bool {
        self.has_content || self.complete_text_lines > 0
    }

    /// Returns the number of received bytes that do not belong to a complete line yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds received data.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete line; `None` if more data is needed.
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

    /// Updates the scan state and the depth with the next byte of a JSON text.
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

    /// Handles the end of a text line. Returns a line of the watch if the text line is a heartbeat or completes a list,
    /// and `None` if the list continues.
    fn on_text_line_end(&mut self) -> Result<Option<WatchLine>, EndpointListError> {
        let had_content = std::mem::take(&mut self.has_content);
        self.complete_text_lines += 1;
        let in_string = self.scan_state != ScanState::OutsideString;
        if self.depth == 0 && !in_string {
            let text = self.buffer.split_to(self.scanned).freeze();
            let is_list = had_content || self.complete_text_lines > 1;
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
        let is_invalid = !had_content
            || in_string
            || (self.complete_text_lines == 1 && self.is_invalid_so_far());
        if is_invalid {
            Err(EndpointListError::Truncated)
        } else {
            Ok(None)
        }
    }

    /// Returns whether the scanned text is invalid JSON that no further text could complete.
    fn is_invalid_so_far(&self) -> bool {
        let parsed = serde_json::from_slice::<&RawValue>(&self.buffer[..self.scanned]);
        parsed.is_err_and(|error| !error.is_eof())
    }
}
