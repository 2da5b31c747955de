//! An HTTP client with timeouts and a limit on the size of a response.

use bytes::Bytes;
use frostkeel_message_body::{BodyError, read_complete};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout for the head of a response, which includes connecting, and separately for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a response's body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The reason why a request got no complete response. The message begins with the address.
#[derive(Debug, Error)]
#[error("{address}: {cause}")]
pub struct ClientError {
    address: SocketAddr,
    #[source]
    cause: ClientErrorCause,
}

/// The cause of a failed request.
#[derive(Debug, Error)]
enum ClientErrorCause {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    #[error("the response body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    #[error("no response head within {RESPONSE_TIMEOUT:?}")]
    HeadTimeout,
    #[error("no complete response body within {RESPONSE_TIMEOUT:?}")]
    BodyTimeout,
}

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// The HTTP status code, for example 200.
    pub status: u16,
    /// The complete body, of at most 64 MiB.
    pub body: Bytes,
}

/// Sends a request on a new connection, and waits up to 3 s for the head of the response.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: String,
) -> Result<Response<Incoming>, ClientError> {
    let response = timeout(
        RESPONSE_TIMEOUT,
        connect_and_send(address, method, target, body),
    )
    .await;
    let response = response.unwrap_or(Err(ClientErrorCause::HeadTimeout));
    response.map_err(|cause| ClientError { address, cause })
}

/// Sends a request on a new connection, and waits for the complete response: up to 3 s for its
/// head, and up to 3 s for its body.
pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: String,
) -> Result<CompleteResponse, ClientError> {
    let response = send_request(address, method, target, body).await?;
    let status = response.status().as_u16();
    let body = timeout(RESPONSE_TIMEOUT, read_body(response)).await;
    let body = body.unwrap_or(Err(ClientErrorCause::BodyTimeout));
    let body = body.map_err(|cause| ClientError { address, cause })?;
    Ok(CompleteResponse { status, body })
}

async fn connect_and_send(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: String,
) -> Result<Response<Incoming>, ClientErrorCause> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(target)
        .header("host", address.to_string());
    let request = request.body(Full::<Bytes>::from(body))?;
    Ok(sender.send_request(request).await?)
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, ClientErrorCause> {
    Ok(read_complete(response.into_body(), MAX_BODY_BYTES).await?)
}

impl From<BodyError<hyper::Error>> for ClientErrorCause {
    fn from(error: BodyError<hyper::Error>) -> Self {
        match error {
            BodyError::TooLong { .. } => Self::BodyTooLong,
            BodyError::Invalid(error) => Self::Protocol(error),
        }
    }
}
