//! Reads complete HTTP message bodies in memory that is proportional to their length.
//!
//! Each piece of a body that an HTTP connection passes on is a slice of the connection's read buffer, and keeps that
//! buffer allocated. A body that is collected as a list of its pieces therefore needs a read buffer for each piece that
//! arrives on its own, which for a peer that writes a few bytes at a time is hundreds of times the length of the body.
//!
//! The caller can limit the memory of all its bodies together: a body asks for its memory before it allocates it.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use std::convert::Infallible;

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

/// The reason why a body was not read into reserved memory.
#[derive(Debug, thiserror::Error)]
pub enum ReservedBodyError<E, R> {
    /// The body was not read completely.
    #[error(transparent)]
    Body(BodyError<E>),
    /// The memory for the body was not reserved.
    #[error("no memory was reserved for the body")]
    NotReserved(R),
}

impl<E, R> From<BodyError<E>> for ReservedBodyError<E, R> {
    fn from(error: BodyError<E>) -> Self {
        Self::Body(error)
    }
}

/// The smallest buffer for a body of unknown length.
const MIN_BUFFER_BYTES: usize = 4 * 1024;

/// A body with the reservation of its memory, which is released with the last reference to the body.
struct ReservedBody<R> {
    bytes: Vec<u8>,
    /// One reservation at a time for a buffer of the current capacity.
    reservation: Option<R>,
}

impl<R> AsRef<[u8]> for ReservedBody<R> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<R> ReservedBody<R> {
    /// Grows the buffer to at least `min_bytes`. While its content is copied, both buffers are reserved.
    async fn grow<X>(
        &mut self,
        min_bytes: usize,
        reserve: &impl AsyncFn(usize) -> Result<R, X>,
    ) -> Result<(), X> {
        if min_bytes <= self.bytes.capacity() {
            return Ok(());
        }
        let reservation = reserve(min_bytes).await?;
        let mut bytes = Vec::with_capacity(min_bytes);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
        self.reservation = Some(reservation);
        Ok(())
    }
}

/// Returns the size of the buffer for a body of unknown length of which `length` bytes have been received.
fn buffer_bytes(length: usize, max_bytes: usize) -> usize {
    let doubled = length.next_power_of_two().max(MIN_BUFFER_BYTES);
    doubled.min(max_bytes).max(length)
}

/// Reads a body of at most `max_bytes` bytes until its end. Each piece is copied and released before the next one is
/// read.
pub async fn read_complete<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = read_reserved(body, max_bytes, async |_| Ok::<(), Infallible>(()));
    read.await.map_err(|error| match error {
        ReservedBodyError::Body(error) => error,
        ReservedBodyError::NotReserved(never) => match never {},
    })
}

/// Reads a body like [`read_complete`], and calls `reserve` before it allocates memory for a number of bytes. The
/// reservation that this returns is released together with the body.
pub async fn read_reserved<B, R, X>(
    mut body: B,
    max_bytes: usize,
    reserve: impl AsyncFn(usize) -> Result<R, X>,
) -> Result<Bytes, ReservedBodyError<B::Error, X>>
where
    B: Body<Data = Bytes> + Unpin,
    R: Send + 'static,
{
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(BodyError::TooLong { max_bytes }.into());
    }
    let mut received = ReservedBody {
        bytes: Vec::new(),
        reservation: None,
    };
    // The memory for a body of known length is reserved before its first byte, so that the sender learns at once if
    // there is none.
    let known_length = size.exact().unwrap_or(0) as usize;
    let reserve_error = ReservedBodyError::NotReserved;
    let grown = received.grow(known_length, &reserve).await;
    grown.map_err(reserve_error)?;
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(piece) = frame.map_err(BodyError::Invalid)?.into_data() else {
            continue;
        };
        let length = received.bytes.len() + piece.len();
        if length > max_bytes {
            return Err(BodyError::TooLong { max_bytes }.into());
        }
        if length > received.bytes.capacity() {
            let grown = received
                .grow(buffer_bytes(length, max_bytes), &reserve)
                .await;
            grown.map_err(reserve_error)?;
        }
        received.bytes.extend_from_slice(&piece);
    }
    if received.bytes.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(received))
}
