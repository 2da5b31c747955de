//! The stand-in for the discovery service: serves reads and watches of the endpoint list.
//!
//! Each balancer reaches the stand-in at a separate address. In an experiment with a real registry,
//! the stand-in registers the upstreams with the registry and forwards the balancers' calls to the
//! registry.

use super::forwarding::Forwarder;
use super::registration::Registrations;
use crate::history::{EndpointState, EventKind, History};
use crate::links::{LinkPeer, Links};
use crate::sync::lock;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

/// Interval at which a watch without changes sends an empty line as a heartbeat. A watcher that
/// does not accept a line within this time is disconnected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after which a balancer counts as notified of a change that is sent while the link from the
/// discovery service to the balancer is cut. During the cut, the balancer's watch receives neither
/// changes nor heartbeats.
const NOTIFICATION_DELAY_DURING_CUT: Duration = Duration::from_secs(6);
/// Maximum number of lines of a watch that wait to be sent to a balancer.
pub(super) const MAX_PENDING_LINES: usize = 16;
/// Path at which the endpoint list is read and watched.
const LIST_PATH: &str = "/registry/instances";

/// The body of a response to a balancer, complete or streamed.
pub(super) type ResponseBody = BoxBody<Bytes, io::Error>;
/// A line that a watch sends to a balancer, or an error that truncates the response.
pub(super) type WatchLine = Result<Frame<Bytes>, io::Error>;

/// An upstream's entry in the endpoint list. If a real registry serves the list, only `endpoints`
/// is used.
pub(super) struct Entry {
    state: EndpointState,
    /// Unix time of the upstream's start in milliseconds; 0 if it started without a slow start.
    boot_ms: u64,
    /// Address at which each balancer reaches the upstream, by the balancer's number.
    pub(super) endpoints: Arc<Vec<SocketAddr>>,
    /// Revision of the list at the entry's last change; 0 if a real registry serves the list.
    revision: u64,
}

/// The discovery service: the endpoint list, and its connections with balancers.
pub struct DiscoveryService {
    pub(super) history: Arc<History>,
    links: Arc<Links>,
    entries: Mutex<BTreeMap<u32, Entry>>,
    revision: watch::Sender<u64>,
    is_available: watch::Sender<bool>,
    /// Registrations of the upstreams with a real registry; `None` if the stand-in serves its own
    /// list.
    registrations: Option<Arc<Registrations>>,
}

impl DiscoveryService {
    /// Creates the service with an empty list. With `registrations`, the list is that of a real
    /// registry.
    pub fn new(
        history: Arc<History>,
        links: Arc<Links>,
        registrations: Option<Arc<Registrations>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            history,
            links,
            entries: Mutex::default(),
            revision: watch::Sender::new(1),
            is_available: watch::Sender::new(true),
            registrations,
        })
    }

    pub(super) fn entries(&self) -> MutexGuard<'_, BTreeMap<u32, Entry>> {
        lock(&self.entries)
    }

    /// Sets the state of an upstream in the list, or announces it to the real registry.
    pub fn update_endpoint(
        &self,
        upstream: u32,
        state: EndpointState,
        boot_ms: u64,
        endpoints: &Arc<Vec<SocketAddr>>,
    ) {
        let mut entries = self.entries();
        let endpoints = Arc::clone(endpoints);
        let Some(registrations) = &self.registrations else {
            self.revision.send_modify(|revision| {
                *revision += 1;
                entries.insert(
                    upstream,
                    Entry {
                        state,
                        boot_ms,
                        endpoints,
                        revision: *revision,
                    },
                );
            });
            return;
        };
        entries.entry(upstream).or_insert_with(|| {
            if let Some(first) = endpoints.first() {
                registrations.add(upstream, *first);
            }
            Entry {
                state,
                boot_ms,
                endpoints,
                revision: 0,
            }
        });
        registrations.announce(upstream, state, boot_ms);
    }

    /// Stops the announcements of a crashed upstream to the real registry, so that its lease
    /// expires; returns whether there is a real registry.
    pub fn stop_announcing(&self, upstream: u32) -> bool {
        self.registrations
            .as_ref()
            .map(|registrations| registrations.stop(upstream))
            .is_some()
    }

    /// Returns the upstreams' registrations with the real registry; `None` if there is no real
    /// registry.
    pub fn registrations(&self) -> Option<&Arc<Registrations>> {
        self.registrations.as_ref()
    }

    /// Makes the service available or unavailable. While it is unavailable, it closes all open and
    /// new connections.
    pub fn set_available(&self, is_available: bool) {
        self.is_available.send_replace(is_available);
    }

    /// Returns the complete list as JSON, with the endpoints at which one balancer reaches the
    /// upstreams.
    pub fn snapshot_text(&self, balancer: u32) -> String {
        self.list_text(balancer, None)
    }

    /// Returns the list for one balancer as JSON: all listed upstreams if `since` is `None`, else
    /// the entries that changed after the revision `since`.
    fn list_text(&self, balancer: u32, since: Option<u64>) -> String {
        let entries = self.entries();
        let revision = *self.revision.borrow();
        let is_included = |entry: &Entry| match since {
            Some(since) => entry.revision > since,
            None => entry.state != EndpointState::Removed,
        };
        let targets: Vec<serde_json::Value> = entries
            .iter()
            .filter(|(_, entry)| is_included(entry))
            .map(|(upstream, entry)| {
                serde_json::json!({
                    "uid": format!("u{upstream}"),
                    "endpoint": entry.endpoints.get(balancer as usize).map(SocketAddr::to_string),
                    "az": "a", "model": "m", "pod_group": 0, "state": entry.state.label(),
                    "capacity_hint": 1.0, "boot_ms": entry.boot_ms,
                })
            })
            .collect();
        serde_json::json!({"rev": revision, "all": since.is_none(), "targets": targets}).to_string()
    }

    /// Records that a balancer is notified of the changes after the revision `since`, or of all
    /// entries if `since` is `None`. While the link to the balancer is cut, records it after
    /// [`NOTIFICATION_DELAY_DURING_CUT`].
    fn record_notified(self: &Arc<Self>, balancer: u32, since: Option<u64>) {
        if !self
            .links
            .between(balancer, LinkPeer::Discovery)
            .is_inbound_cut()
        {
            self.record_notified_now(balancer, since);
            return;
        }
        let discovery = Arc::clone(self);
        tokio::spawn(async move {
            sleep(NOTIFICATION_DELAY_DURING_CUT).await;
            discovery.record_notified_now(balancer, since);
        });
    }

    fn record_notified_now(&self, balancer: u32, since: Option<u64>) {
        for (upstream, entry) in self.entries().iter() {
            if since.is_none_or(|since| entry.revision > since) {
                let (upstream, state) = (*upstream, entry.state);
                self.history.record(EventKind::EndpointNotified {
                    balancer,
                    upstream,
                    state,
                });
            }
        }
    }

    /// Accepts the connections of one balancer until the listener fails or the task is aborted.
    pub async fn serve(self: Arc<Self>, balancer: u32, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.history.record(EventKind::DiscoveryCalled { balancer });
            if *self.is_available.borrow() {
                self.serve_connection(balancer, stream);
            }
        }
    }

    fn serve_connection(self: &Arc<Self>, balancer: u32, stream: TcpStream) {
        let stream = self
            .links
            .between(balancer, LinkPeer::Discovery)
            .attach(stream);
        let (discovery, mut is_available) = (Arc::clone(self), self.is_available.subscribe());
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let discovery = Arc::clone(&discovery);
                async move { discovery.respond(balancer, &request).await }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => (),
                _ = is_available.wait_for(|is_available| !is_available) => (),
            }
        });
    }

    async fn respond(
        self: &Arc<Self>,
        balancer: u32,
        request: &Request<Incoming>,
    ) -> io::Result<Response<ResponseBody>> {
        let registry = self
            .registrations
            .as_ref()
            .and_then(|all| all.registry().read_address());
        match registry {
            Some(address) => {
                Forwarder::new(Arc::clone(self), balancer, address)
                    .forward(request)
                    .await
            }
            None => Ok(self.respond_from_list(balancer, request)),
        }
    }

    fn respond_from_list(
        self: &Arc<Self>,
        balancer: u32,
        request: &Request<Incoming>,
    ) -> Response<ResponseBody> {
        let query = request.uri().query().unwrap_or_default();
        if request.uri().path() != LIST_PATH {
            let mut not_found = Response::new(full_body(Bytes::new()));
            *not_found.status_mut() = StatusCode::NOT_FOUND;
            return not_found;
        }
        if !query.contains("stream=1") {
            self.record_notified(balancer, None);
            return Response::new(full_body(self.snapshot_text(balancer).into()));
        }
        let index = query
            .split('&')
            .find_map(|part| part.strip_prefix("index=")?.parse().ok());
        let since = index.filter(|index| *index > 0 && *index <= *self.revision.borrow());
        let (lines, body) = mpsc::channel(MAX_PENDING_LINES);
        tokio::spawn(Arc::clone(self).stream_changes(balancer, since, lines));
        Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(body))))
    }

    /// Sends the complete list if `since` is `None`, otherwise the changes after the revision
    /// `since`; then sends each later change.
    async fn stream_changes(
        self: Arc<Self>,
        balancer: u32,
        mut since: Option<u64>,
        lines: mpsc::Sender<WatchLine>,
    ) {
        let mut revisions = self.revision.subscribe();
        loop {
            let revision = *revisions.borrow_and_update();
            let is_current = since == Some(revision);
            let line = match is_current {
                true => String::new(),
                false => self.list_text(balancer, since),
            };
            let frame = Ok(Frame::data(format!("{line}\n").into()));
            // Disconnects a watcher that does not read.
            if lines
                .send_timeout(frame, KEEP_ALIVE_INTERVAL)
                .await
                .is_err()
            {
                return;
            }
            if !is_current {
                self.record_notified(balancer, since);
            }
            since = Some(revision);
            let _ = timeout(
                KEEP_ALIVE_INTERVAL,
                revisions.wait_for(|latest| *latest != revision),
            )
            .await;
        }
    }
}

pub(super) fn full_body(text: Bytes) -> ResponseBody {
    Full::new(text).map_err(|never| match never {}).boxed()
}
