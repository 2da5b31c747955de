//! Forwards the discovery calls of a balancer to a real registry.
//!
//! In each response, the endpoints are replaced by those at which the balancer reaches the
//! upstreams. Each upstream state in a response is recorded as notified to the balancer.

use super::discovery::{
    DiscoveryService, Entry, MAX_PENDING_LINES, ResponseBody, WatchLine, full_body,
};
use crate::history::{EndpointState, EventKind};
use bytes::{Bytes, BytesMut};
use frostkeel_registry::client::send_request;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Forwards the calls of one balancer to a registry.
pub(super) struct Forwarder {
    discovery: Arc<DiscoveryService>,
    balancer: u32,
    registry: SocketAddr,
}

impl Forwarder {
    pub(super) fn new(
        discovery: Arc<DiscoveryService>,
        balancer: u32,
        registry: SocketAddr,
    ) -> Self {
        Self {
            discovery,
            balancer,
            registry,
        }
    }

    /// Forwards a call to the registry, and its response to the balancer.
    pub(super) async fn forward(
        self,
        request: &Request<Incoming>,
    ) -> io::Result<Response<ResponseBody>> {
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let response = send_request(self.registry, Method::GET, target, String::new()).await;
        let (parts, body) = response.map_err(|_| no_response())?.into_parts();
        let mut response = if target.contains("stream=1") {
            let (lines, receiver) = mpsc::channel(MAX_PENDING_LINES);
            tokio::spawn(self.forward_watch(body, lines));
            Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(
                receiver,
            ))))
        } else {
            let text = body.collect().await.map_err(|_| no_response())?.to_bytes();
            Response::new(full_body(self.rewrite(&text)))
        };
        *response.status_mut() = parts.status;
        Ok(response)
    }

    /// Forwards the lines of a watch until the registry or the balancer ends the watch.
    async fn forward_watch(self, mut body: Incoming, lines: mpsc::Sender<WatchLine>) {
        let mut pending = BytesMut::new();
        while let Some(Ok(frame)) = body.frame().await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            pending.extend_from_slice(&data);
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line = pending.split_to(end + 1);
                let mut line = BytesMut::from(&self.rewrite(&line)[..]);
                line.extend_from_slice(b"\n");
                if lines.send(Ok(Frame::data(line.freeze()))).await.is_err() {
                    return;
                }
            }
        }
        // The registry has ended the watch: the error truncates the response to the balancer.
        let _ = lines.send(Err(no_response())).await;
    }

    /// Replaces the endpoints in `text`, which is a complete list or one line of a watch, and
    /// records the upstream states that `text` contains. Text that is not JSON, such as the empty
    /// line of a heartbeat, is returned trimmed.
    fn rewrite(&self, text: &[u8]) -> Bytes {
        let Ok(mut list) = serde_json::from_slice::<serde_json::Value>(text) else {
            return Bytes::copy_from_slice(text.trim_ascii());
        };
        let entries = self.discovery.entries();
        for target in list["targets"].as_array_mut().into_iter().flatten() {
            self.rewrite_target(&entries, target);
        }
        Bytes::from(list.to_string())
    }

    fn rewrite_target(&self, entries: &BTreeMap<u32, Entry>, target: &mut serde_json::Value) {
        let number = target["uid"]
            .as_str()
            .and_then(|uid| uid.strip_prefix('u')?.parse().ok());
        let Some(upstream) = number else { return };
        let Some(entry) = entries.get(&upstream) else {
            return;
        };
        if let Some(endpoint) = entry.endpoints.get(self.balancer as usize) {
            target["endpoint"] = endpoint.to_string().into();
        }
        let state = match target["state"].as_str() {
            Some("Ready") => EndpointState::Ready,
            Some("Terminating") => EndpointState::Terminating,
            _ => EndpointState::Removed,
        };
        let balancer = self.balancer;
        self.discovery.history.record(EventKind::EndpointNotified {
            balancer,
            upstream,
            state,
        });
    }
}

fn no_response() -> io::Error {
    io::Error::other("no complete response from the registry")
}
