//! The reading of complete message bodies.

use bytes::Bytes;
use frostkeel_message_body::{BodyError, read_complete};
use http_body::{Body, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

const PIECE_COUNT: usize = 100;
const PIECE_BYTES: usize = 16;
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// A body in small pieces, each a slice of a read buffer of its own, as an HTTP connection passes
/// them on if the peer writes a few bytes at a time.
#[derive(Default)]
struct SmallPieces {
    read_buffers: Vec<Bytes>,
    /// The largest number of read buffers that were in use when another piece was read.
    max_retained: usize,
}

impl Body for &mut SmallPieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let retained = self
            .read_buffers
            .iter()
            .filter(|buffer| !buffer.is_unique());
        let retained = retained.count();
        self.max_retained = self.max_retained.max(retained);
        let number = self.read_buffers.len();
        if number == PIECE_COUNT {
            return Poll::Ready(None);
        }
        let buffer = Bytes::from(vec![number as u8; READ_BUFFER_BYTES]);
        let piece = buffer.slice(..PIECE_BYTES);
        self.read_buffers.push(buffer);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// Guards against a body that keeps the read buffer of each of its pieces until it is complete.
#[tokio::test]
async fn releases_each_piece_before_the_next_one_is_read() {
    let mut pieces = SmallPieces::default();
    let body = read_complete(&mut pieces, PIECE_COUNT * PIECE_BYTES)
        .await
        .unwrap();
    let expected: Vec<u8> = (0..PIECE_COUNT)
        .flat_map(|number| [number as u8; PIECE_BYTES])
        .collect();
    assert_eq!(body, expected);
    assert_eq!(pieces.max_retained, 0);
}

/// A body that exceeds the limit by one byte must be given up at the piece that exceeds it.
#[tokio::test]
async fn rejects_a_body_over_the_limit() {
    let mut pieces = SmallPieces::default();
    let max_bytes = PIECE_COUNT * PIECE_BYTES - 1;
    let result = read_complete(&mut pieces, max_bytes).await;
    assert!(
        matches!(result, Err(BodyError::TooLong { max_bytes: reported }) if reported == max_bytes)
    );
}
