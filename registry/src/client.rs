//! Calls over HTTP with their bounds.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a call may take, and the most bytes of its answer.
const TAKES: Duration = Duration::from_secs(3);
const MOST: usize = 64 << 20;

/// Sends a call and waits for the head of its answer; an error names the address.
pub async fn send_request(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: String,
) -> Result<Response<Incoming>, String> {
    let said = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(target)
            .header("host", address.to_string());
        let request = request
            .body(Full::<Bytes>::from(body))
            .map_err(|e| e.to_string())?;
        sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())
    };
    let answered = timeout(TAKES, said)
        .await
        .unwrap_or_else(|_| Err(format!("no answer in {TAKES:?}")));
    answered.map_err(|e| format!("{address}: {e}"))
}

/// A whole call: the status and the body of its answer.
pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: String,
) -> Result<(u16, Bytes), String> {
    let response = send_request(address, method, target, body).await?;
    let status = response.status().as_u16();
    let body = timeout(TAKES, Limited::new(response.into_body(), MOST).collect()).await;
    let body = body.map_err(|_| format!("{address}: no whole answer in {TAKES:?}"))?;
    Ok((
        status,
        body.map_err(|e| format!("{address}: {e}"))?.to_bytes(),
    ))
}
