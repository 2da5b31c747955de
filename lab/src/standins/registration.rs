//! The registration of stand-in upstreams with a real registry: each upstream sends its state until
//! the registry has acknowledged it, and renews its lease while it is ready.

use super::registry_process::RegistryProcess;
use crate::history::EndpointState;
use crate::sync::lock;
use frostkeel_registry::client::call;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Time before a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of renewals during one lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Time before an acknowledged drain call is repeated, in leases. In the meantime the upstream
/// makes no call, not even to renew its lease, unless its announcement changes.
const DRAIN_REPEAT_INTERVAL_LEASES: u32 = 100;

/// The state that an upstream announces to the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    /// The upstream makes no calls: it is not ready yet, has crashed, or has been removed.
    Nothing,
    Ready {
        boot_ms: u64,
    },
    Draining,
    Removed,
}

/// A call to the registry.
struct Call {
    method: Method,
    target: String,
    body: String,
}

/// What an upstream does after a call.
enum NextStep {
    /// Makes the next call after this time, or as soon as the announcement changes.
    Wait(Duration),
    /// Makes no more calls, because the registry has removed the upstream.
    Stop,
}

/// The registrations of all upstreams of a run with a real registry.
pub struct Registrations {
    registry: Arc<RegistryProcess>,
    lease: Duration,
    /// Current announcement of each upstream, by its number.
    announcements: Mutex<Vec<watch::Sender<Announcement>>>,
}

impl Registrations {
    /// Creates registrations without upstreams. `lease` is the duration of each upstream's lease.
    pub fn new(registry: Arc<RegistryProcess>, lease: Duration) -> Arc<Self> {
        Arc::new(Self {
            registry,
            lease,
            announcements: Mutex::default(),
        })
    }

    /// Returns the registry that the upstreams register with.
    pub fn registry(&self) -> &Arc<RegistryProcess> {
        &self.registry
    }

    /// Adds an upstream, which makes no calls until [`announce`](Self::announce). Upstreams must be
    /// added in the order of their numbers, from 0.
    pub fn add(self: &Arc<Self>, upstream: u32, endpoint: SocketAddr) {
        let (sender, receiver) = watch::channel(Announcement::Nothing);
        lock(&self.announcements).push(sender);
        let registration = Registration {
            registrations: Arc::clone(self),
            upstream,
            endpoint,
            registered_boot_ms: None,
        };
        tokio::spawn(registration.run(receiver));
    }

    /// Sets the state that an upstream announces from now on; `boot_ms` is the Unix time of its
    /// start in milliseconds.
    pub fn announce(&self, upstream: u32, state: EndpointState, boot_ms: u64) {
        let announcement = match state {
            EndpointState::Ready => Announcement::Ready { boot_ms },
            EndpointState::Terminating => Announcement::Draining,
            EndpointState::Removed => Announcement::Removed,
        };
        self.set(upstream, announcement);
    }

    /// Stops the calls of an upstream, so that its lease expires.
    pub fn stop(&self, upstream: u32) {
        self.set(upstream, Announcement::Nothing);
    }

    fn set(&self, upstream: u32, announcement: Announcement) {
        let announcements = lock(&self.announcements);
        if let Some(sender) = announcements.get(upstream as usize) {
            sender.send_replace(announcement);
        }
    }
}

/// The task that registers one upstream.
struct Registration {
    registrations: Arc<Registrations>,
    upstream: u32,
    endpoint: SocketAddr,
    /// `boot_ms` of the last registration that the registry acknowledged; `None` if the registry
    /// has acknowledged none, or if it no longer has the upstream.
    registered_boot_ms: Option<u64>,
}

impl Registration {
    async fn run(mut self, mut announcements: watch::Receiver<Announcement>) {
        loop {
            let announcement = *announcements.borrow_and_update();
            let Some(next_call) = self.next_call(announcement) else {
                if announcements.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let Some(address) = self.registrations.registry.write_address() else {
                return;
            };
            let Call {
                method,
                target,
                body,
            } = next_call;
            let response = call(address, method, &target, body).await;
            let status = response.ok().map(|response| response.status);
            match self.on_response(announcement, status) {
                NextStep::Stop => self.registrations.set(self.upstream, Announcement::Nothing),
                NextStep::Wait(wait) => {
                    let _ = timeout(wait, announcements.changed()).await;
                }
            }
        }
    }

    /// Returns the call that sends an announcement to the registry, or that renews the lease if the
    /// registry has acknowledged the registration; `None` for [`Announcement::Nothing`].
    fn next_call(&self, announcement: Announcement) -> Option<Call> {
        let path = format!("/upstreams/u{}", self.upstream);
        let (method, target, body) = match announcement {
            Announcement::Nothing => return None,
            Announcement::Ready { boot_ms } if self.registered_boot_ms == Some(boot_ms) => {
                let body = json!({"boot_ms": boot_ms}).to_string();
                (Method::POST, format!("{path}/renew"), body)
            }
            Announcement::Ready { boot_ms } => {
                let body = json!({
                    "endpoint": self.endpoint.to_string(), "az": "a", "model": "m",
                    "boot_ms": boot_ms, "ttl_s": self.registrations.lease.as_secs_f64(),
                });
                (Method::PUT, path, body.to_string())
            }
            Announcement::Draining => (Method::POST, format!("{path}/drain"), String::new()),
            Announcement::Removed => (Method::DELETE, path, String::new()),
        };
        Some(Call {
            method,
            target,
            body,
        })
    }

    fn on_response(&mut self, announcement: Announcement, status: Option<u16>) -> NextStep {
        let lease = self.registrations.lease;
        match (status, announcement) {
            (Some(200), Announcement::Ready { boot_ms }) => {
                self.registered_boot_ms = Some(boot_ms);
                NextStep::Wait(lease / RENEWALS_PER_LEASE)
            }
            // The registry no longer has this upstream, so the next call registers it again.
            (Some(404), Announcement::Ready { .. }) => {
                self.registered_boot_ms = None;
                NextStep::Wait(RETRY_INTERVAL)
            }
            (Some(200 | 404), Announcement::Removed) => NextStep::Stop,
            (Some(200 | 404), Announcement::Draining) => {
                NextStep::Wait(lease * DRAIN_REPEAT_INTERVAL_LEASES)
            }
            _ => NextStep::Wait(RETRY_INTERVAL),
        }
    }
}
