//! The lines of a watch.

use super::endpoint_list::{EndpointListError, MAX_LIST_BYTES};
use bytes::{Bytes, BytesMut};
use serde_json::value::RawValue;

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchLine {
    /// An empty line: nothing has changed.
    Heartbeat,
    /// The text of a list.
    List(Bytes),
}

/// Where in a JSON text the scan is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    #[default]
    OutsideString,
    InString,
    /// Behind a backslash in a string.
    InEscape,
}

/// Splits what comes on a watch into its lines. A list may go over several lines of text, none of them empty.
#[derive(Default)]
pub struct WatchLines {
    buffer: BytesMut,
    /// How much of the buffer has been scanned.
    scanned: usize,
    scan_state: ScanState,
    /// Braces and brackets that are open there.
    depth: usize,
    /// Text lines of the list in hand that have ended.
    ended_lines: usize,
    /// Whether the text line in hand holds anything but white space.
    has_content: bool,
}

impl WatchLines {
    /// Whether part of a list is in hand; white space alone is none.
    pub fn has_partial_list(&self) -> bool {
        self.has_content || self.ended_lines > 0
    }

    /// Adds what has come.
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

    /// A text line has ended: it was empty, or it ends a list, or the list goes on.
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

    /// Whether no text that goes on from here can be a list.
    fn is_invalid_so_far(&self) -> bool {
        let parsed = serde_json::from_slice::<&RawValue>(&self.buffer[..self.scanned]);
        parsed.is_err_and(|error| !error.is_eof())
    }
}
