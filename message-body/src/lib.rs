//! Reads complete HTTP message bodies in memory that is proportional to their length.
//!
//! Each piece of a body that an HTTP connection passes on is a slice of the connection's read buffer, and keeps that
//! buffer allocated. A body that is collected as a list of its pieces therefore needs a read buffer for each piece that
//! arrives on its own, which for a peer that writes a few bytes at a time is hundreds of times the length of the body.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// The reason why a body was not read completely.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The body is longer than the limit.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// The body was truncated, or its framing is invalid.
    #[error(transparent)]
    Invalid(#[from] E),
}

/// Reads a body of at most `max_bytes` bytes until its end. Each piece is copied and released before the next one is
/// read.
pub async fn read_complete<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if received.len() + piece.len() > max_bytes {
            return Err(BodyError::TooLong { max_bytes });
        }
        received.extend_from_slice(&piece);
    }
    Ok(received.freeze())
}
