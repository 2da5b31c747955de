//! HTTP/1.1 messages as read from a connection, and requests and responses that the tests send.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;

pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Own: kept\r\n\r\ndone";
pub const EMPTY_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
pub const ERROR_RESPONSE: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// The head of a response with a chunked body.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub const LIVENESS_REQUEST: &str = "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n";
pub const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";
/// A request for a path that does not belong to any class.
pub const UNKNOWN_PATH_REQUEST: &str = "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n";

/// The correlation id of [`idempotent_request`].
pub const CORRELATION_ID: &str = "77aa";

/// An HTTP/1.1 request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// Names and values of the headers, with the names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; empty if there is no content length.
    pub body: Vec<u8>,
    /// The number of bytes of the head and the body.
    pub length: usize,
}

impl Message {
    /// Reads a message; `None` if the connection ends or a read fails before the message is
    /// complete.
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let mut start_line = String::new();
        let mut length = read_line(stream, &mut start_line)?;
        let mut headers = Vec::new();
        loop {
            let mut header = String::new();
            length += read_line(stream, &mut header)?;
            let Some((name, value)) = header.trim_end().split_once(':') else {
                break;
            };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            start_line: start_line.trim_end().to_owned(),
            headers,
            body: Vec::new(),
            length,
        };
        let body_length = message.header("content-length");
        let body_length = body_length.map_or(0, |length| length.parse().unwrap());
        message.body.resize(body_length, 0);
        stream.read_exact(&mut message.body).ok()?;
        message.length += body_length;
        Some(message)
    }

    /// Returns the value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(header, _)| header == name)?;
        Some(value)
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        let code = self.start_line.split(' ').nth(1);
        let code = code.and_then(|code| code.parse().ok());
        code.unwrap_or_else(|| panic!("{self:?}"))
    }
}

fn read_line(stream: &mut impl BufRead, line: &mut String) -> Option<usize> {
    stream.read_line(line).ok().filter(|length| *length > 0)
}

/// Reads the next request on a connection; `None` if the connection ends or a read fails.
pub fn read_request(stream: &TcpStream) -> Option<Message> {
    Message::read(&mut BufReader::new(stream))
}

/// Returns a request of the class `book`, which is at-most-once.
pub fn at_most_once_request(time_left_ms: u64, body: &str) -> String {
    format!(
        "POST /book/day?n=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: 9b1f03aa\r\nX-Account: acme\r\n\
         Cookie: user=7f\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request of the class `look`, which is idempotent.
pub fn idempotent_request(time_left_ms: u64) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {CORRELATION_ID}\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n\r\n"
    )
}
