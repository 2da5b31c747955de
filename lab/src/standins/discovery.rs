//! The stand-in of the list service: the whole list, and a watch on its changes, to each balancer at an address
//! of its own.

use crate::history::{History, Listed, What};
use crate::links::connections::{Links, Other};
use crate::standins::registration::Registrar;
use bytes::{Bytes, BytesMut};
use frostkeel_registry::client::send_request;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

/// How often a watch on which nothing changes says so.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);
/// What a watch that has fallen silent misses counts as told after this.
const SILENCE_TELLS_AFTER: Duration = Duration::from_secs(6);
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
    /// Where the list is the real service's.
    registrar: Option<Arc<Registrar>>,
}

impl Discovery {
    /// An empty list.
    pub fn new(
        history: Arc<History>,
        links: Arc<Links>,
        registrar: Option<Arc<Registrar>>,
    ) -> Arc<Self> {
        let (rev, up) = (watch::Sender::new(1), watch::Sender::new(true));
        Arc::new(Self {
            history,
            links,
            entries: Mutex::default(),
            rev,
            up,
            registrar,
        })
    }

    /// How an upstream stands from now on.
    pub fn list(
        &self,
        upstream: u32,
        listed: Listed,
        boot_ms: u64,
        endpoints: &Arc<Vec<SocketAddr>>,
    ) {
        if let Some(registrar) = &self.registrar {
            let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries.entry(upstream).or_insert_with(|| {
                let endpoints = Arc::clone(endpoints);
                if let Some(first) = endpoints.first() {
                    registrar.add(upstream, *first);
                }
                Entry {
                    listed,
                    boot_ms,
                    endpoints,
                    rev: 0,
                }
            });
            registrar.says(upstream, listed, boot_ms);
            return;
        }
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        self.rev.send_modify(|rev| {
            *rev += 1;
            let endpoints = Arc::clone(endpoints);
            entries.insert(
                upstream,
                Entry {
                    listed,
                    boot_ms,
                    endpoints,
                    rev: *rev,
                },
            );
        });
    }

    /// An upstream has died: with the real service, it is silent from now on, and nobody else tells of it. Whether so.
    pub fn falls_silent(&self, upstream: u32) -> bool {
        self.registrar
            .as_ref()
            .map(|registrar| registrar.dies(upstream))
            .is_some()
    }

    /// The real service, where there is one.
    pub fn registrar(&self) -> Option<&Arc<Registrar>> {
        self.registrar.as_ref()
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
        (
            rev,
            serde_json::json!({"rev": rev, "all": since.is_none(), "targets": targets}).to_string(),
        )
    }

    /// Notes what a text tells a balancer: now, or where its watch is cut off, once that counts as told all the same.
    fn told(self: &Arc<Self>, balancer: u32, since: Option<u64>) {
        if !self.links.between(balancer, Other::Discovery).is_cut_back() {
            self.note_told(balancer, since);
            return;
        }
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            sleep(SILENCE_TELLS_AFTER).await;
            discovery.note_told(balancer, since);
        });
    }

    fn note_told(&self, balancer: u32, since: Option<u64>) {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = entries
            .iter()
            .filter(|(_, e)| since.is_none_or(|since| e.rev > since));
        for (upstream, e) in newer {
            self.history.note(What::Told {
                balancer,
                upstream: *upstream,
                listed: e.listed,
            });
        }
    }

    /// Serves one balancer at its address for as long as the play lasts.
    pub async fn serve(self: Arc<Self>, balancer: u32, listener: TcpListener) {
        let link = self.links.between(balancer, Other::Discovery);
        while let Ok((stream, _)) = listener.accept().await {
            self.history.note(What::Called { balancer });
            if !*self.up.borrow() {
                continue;
            }
            let stream = link.through(stream);
            let (discovery, mut up) = (Arc::clone(&self), self.up.subscribe());
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let discovery = Arc::clone(&discovery);
                    async move {
                        match discovery
                            .registrar
                            .as_ref()
                            .and_then(|registrar| registrar.read())
                        {
                            Some(real) => discovery.pass_on(balancer, real, &request).await,
                            None => Ok(discovery.respond(balancer, &request)),
                        }
                    }
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

    /// Passes a call on to the real service, and what it answers back, with the endpoints that this balancer knows.
    async fn pass_on(
        self: &Arc<Self>,
        balancer: u32,
        real: SocketAddr,
        request: &Request<Incoming>,
    ) -> Result<Response<BoxBody<Bytes, std::io::Error>>, std::io::Error> {
        let broken = || std::io::Error::other("the list service does not answer");
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let answer = send_request(real, Method::GET, target, String::new())
            .await
            .map_err(|_| broken())?;
        let (parts, mut body) = answer.into_parts();
        if !target.contains("stream=1") {
            let text = body.collect().await.map_err(|_| broken())?.to_bytes();
            let mut response = Response::new(whole(self.seen_by(balancer, &text)));
            *response.status_mut() = parts.status;
            return Ok(response);
        }
        let (lines, sent) = mpsc::channel(LINES_BEHIND);
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            let mut pending = BytesMut::new();
            while let Some(Ok(frame)) = body.frame().await {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                pending.extend_from_slice(&data);
                while let Some(n) = pending.iter().position(|byte| *byte == b'\n') {
                    let line = pending.split_to(n + 1).freeze();
                    let mut line = BytesMut::from(&discovery.seen_by(balancer, &line)[..]);
                    line.extend_from_slice(b"\n");
                    if lines.send(Ok(Frame::data(line.freeze()))).await.is_err() {
                        return;
                    }
                }
            }
            // The watch has ended there: it ends here, as one that broke off.
            let _ = lines.send(Err(broken())).await;
        });
        let mut response =
            Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(sent))));
        *response.status_mut() = parts.status;
        Ok(response)
    }

    /// A text of the real service as a balancer sees it; notes what it tells.
    fn seen_by(&self, balancer: u32, text: &[u8]) -> Bytes {
        let Ok(mut list) = serde_json::from_slice::<serde_json::Value>(text) else {
            return Bytes::copy_from_slice(text.trim_ascii());
        };
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for target in list["targets"].as_array_mut().into_iter().flatten() {
            let number = target["uid"]
                .as_str()
                .and_then(|uid| uid.strip_prefix('u')?.parse::<u32>().ok());
            let Some((upstream, entry)) = number.and_then(|n| Some((n, entries.get(&n)?))) else {
                continue;
            };
            if let Some(endpoint) = entry.endpoints.get(balancer as usize) {
                target["endpoint"] = endpoint.to_string().into();
            }
            let listed = match target["state"].as_str() {
                Some("Ready") => Listed::Ready,
                Some("Terminating") => Listed::Terminating,
                _ => Listed::Gone,
            };
            self.history.note(What::Told {
                balancer,
                upstream,
                listed,
            });
        }
        Bytes::from(list.to_string())
    }

    fn respond(
        self: &Arc<Self>,
        balancer: u32,
        request: &Request<Incoming>,
    ) -> Response<BoxBody<Bytes, std::io::Error>> {
        let query = request.uri().query().unwrap_or_default();
        if request.uri().path() != "/registry/instances" {
            let mut none = Response::new(whole(Bytes::new()));
            *none.status_mut() = StatusCode::NOT_FOUND;
            return none;
        }
        if !query.contains("stream=1") {
            self.told(balancer, None);
            return Response::new(whole(self.text(balancer, None).1.into()));
        }
        let index = query
            .split('&')
            .find_map(|part| part.strip_prefix("index=")?.parse().ok());
        let since = index.filter(|n| *n > 0 && *n <= *self.rev.borrow());
        let (lines, body) = mpsc::channel(LINES_BEHIND);
        tokio::spawn(Arc::clone(self).follow(balancer, since, lines));
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(body))))
    }

    async fn follow(
        self: Arc<Self>,
        balancer: u32,
        mut since: Option<u64>,
        lines: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    ) {
        let mut changes = self.rev.subscribe();
        loop {
            let rev = *changes.borrow_and_update();
            let line = if since == Some(rev) {
                String::new()
            } else {
                self.text(balancer, since).1
            };
            // Written, or as good as: a watcher that does not read is let go.
            if lines
                .send_timeout(
                    Ok(Frame::data(format!("{line}\n").into())),
                    EMPTY_LINE_EVERY,
                )
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

fn whole(text: Bytes) -> BoxBody<Bytes, std::io::Error> {
    Full::new(text).map_err(|never| match never {}).boxed()
}
