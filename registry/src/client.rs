//! An HTTP client with timeouts and a limit on the size of a response.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of a response's head, and again of its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a response's body, in bytes.
const MAX_BODY_SIZE: usize = 64 << 20;

/// Why a request got no complete response. The message names the address.
#[derive(Debug, Error)]
#[error("{address}: {cause}")]
pub struct ClientError {
    address: SocketAddr,
    #[source]
    cause: ClientErrorCause,
}

/// What went wrong with a request.
#[derive(Debug, Error)]
enum ClientErrorCause {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    #[error(transparent)]
    Protocol(#[from] hyper::Error),
    #[error("length limit exceeded")]
    BodyTooLong,
    #[error("no answer in {RESPONSE_TIMEOUT:?}")]
    HeadTimeout,
    #[error("no whole answer in {RESPONSE_TIMEOUT:?}")]
    BodyTimeout,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Sends a request on a connection of its own, and waits for the head of the response.
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

/// Sends a request on a connection of its own, and waits for the complete response.
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
    let body = Limited::new(response.into_body(), MAX_BODY_SIZE)
        .collect()
        .await;
    Ok(body.map_err(body_error)?.to_bytes())
}

/// The body fails with an error of the connection, or with that of the size limit.
fn body_error(error: Box<dyn StdError + Send + Sync>) -> ClientErrorCause {
    match error.downcast::<hyper::Error>() {
        Ok(error) => ClientErrorCause::Protocol(*error),
        Err(_) => ClientErrorCause::BodyTooLong,
    }
}
