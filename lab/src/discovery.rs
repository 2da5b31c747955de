//! The stand-in of the list service: the whole list, and a watch on its changes, to each balancer at an address
//! of its own.

use crate::history::{History, Listed, What};
use crate::link::{Links, Other};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

/// How often a watch on which nothing changes says so.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);
/// Lines that a watcher may be behind.
const LINES_BEHIND: usize = 16;

#[derive(Clone)]
struct Entry {
    listed: Listed,
    boot_ms: u64,
    /// By balancer.
    endpoints: Arc<Vec<SocketAddr>>,
    rev: u64,
}

/// The list, and who watches it.
pub struct Discovery {
    history: Arc<History>,
    links: Arc<Links>,
    entries: Mutex<BTreeMap<u32, Entry>>,
    rev: watch::Sender<u64>,
    up: watch::Sender<bool>,
}

impl Discovery {
    /// An empty list.
    pub fn new(history: Arc<History>, links: Arc<Links>) -> Arc<Self> {
        let (rev, up) = (watch::Sender::new(1), watch::Sender::new(true));
        Arc::new(Self { history, links, entries: Mutex::default(), rev, up })
    }

    /// How an upstream stands from now on.
    pub fn list(&self, upstream: u32, listed: Listed, boot_ms: u64, endpoints: &Arc<Vec<SocketAddr>>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        self.rev.send_modify(|rev| {
            *rev += 1;
            let endpoints = Arc::clone(endpoints);
            entries.insert(upstream, Entry { listed, boot_ms, endpoints, rev: *rev });
        });
    }

    /// Answers calls and holds watches, or refuses all.
    pub fn set_up(&self, up: bool) {
        self.up.send_replace(up);
    }

    /// The list as one balancer gets it, or what of it is newer than a version.
    pub fn text(&self, balancer: u32, since: Option<u64>) -> (u64, String) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let rev = *self.rev.borrow();
        let newer = entries.iter().filter(|(_, e)| match since {
            Some(since) => e.rev > since,
            None => e.listed != Listed::Gone,
        });
        let targets: Vec<serde_json::Value> = newer
            .map(|(upstream, e)| {
                let state = match e.listed {
                    Listed::Ready => "Ready",
                    Listed::Terminating => "Terminating",
                    Listed::Gone => "Gone",
                };
                serde_json::json!({
                    "uid": format!("u{upstream}"),
                    "endpoint": e.endpoints.get(balancer as usize).map(SocketAddr::to_string),
                    "az": "a", "model": "m", "pod_group": 0, "state": state,
                    "capacity_hint": 1.0, "boot_ms": e.boot_ms,
                })
            })
            .collect();
        (rev, serde_json::json!({"rev": rev, "all": since.is_none(), "targets": targets}).to_string())
    }

    /// Notes what a text tells a balancer.
    fn told(&self, balancer: u32, since: Option<u64>) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = entries.iter().filter(|(_, e)| since.is_none_or(|since| e.rev > since));
        for (upstream, e) in newer {
            self.history.note(What::Told { balancer, upstream: *upstream, listed: e.listed });
        }
    }

    /// Serves one balancer at its address for as long as the play lasts.
    pub async fn serve(self: Arc<Self>, balancer: u32, listener: TcpListener) {
        let link = self.links.between(balancer, Other::Discovery);
        while let Ok((stream, _)) = listener.accept().await {
            if !*self.up.borrow() {
                continue;
            }
            let stream = link.through(stream);
            let (discovery, mut up) = (Arc::clone(&self), self.up.subscribe());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let discovery = Arc::clone(&discovery);
                    async move { Ok::<_, Infallible>(discovery.respond(balancer, &request)) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    _ = connection => (),
                    _ = up.wait_for(|up| !up) => (),
                }
            });
        }
    }

    fn respond(
        self: &Arc<Self>,
        balancer: u32,
        request: &Request<Incoming>,
    ) -> Response<BoxBody<Bytes, Infallible>> {
        let query = request.uri().query().unwrap_or_default();
        if request.uri().path() != "/registry/instances" {
            let mut none = Response::new(Full::default().boxed());
            *none.status_mut() = StatusCode::NOT_FOUND;
            return none;
        }
        if !query.contains("stream=1") {
            self.told(balancer, None);
            return Response::new(Full::new(Bytes::from(self.text(balancer, None).1)).boxed());
        }
        let index = query.split('&').find_map(|part| part.strip_prefix("index=")?.parse().ok());
        let since = index.filter(|n| *n > 0 && *n <= *self.rev.borrow());
        let (lines, body) = mpsc::channel(LINES_BEHIND);
        tokio::spawn(Arc::clone(self).follow(balancer, since, lines));
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(body))))
    }

    async fn follow(
        self: Arc<Self>,
        balancer: u32,
        mut since: Option<u64>,
        lines: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
    ) {
        let mut changes = self.rev.subscribe();
        loop {
            let rev = *changes.borrow_and_update();
            let line = if since == Some(rev) { String::new() } else { self.text(balancer, since).1 };
            // Written, or as good as: a watcher that does not read is let go.
            if lines
                .send_timeout(Ok(Frame::data(format!("{line}\n").into())), EMPTY_LINE_EVERY)
                .await
                .is_err()
            {
                return;
            }
            if since != Some(rev) {
                self.told(balancer, since);
            }
            since = Some(rev);
            let _ = timeout(EMPTY_LINE_EVERY, changes.wait_for(|now| *now != rev)).await;
        }
    }
}
