//! The registration of stand-in upstreams with a real registry: each announces its state until the
//! registry has acknowledged it, and renews its lease.

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

/// Before a call that failed is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// A lease is renewed after this part of it.
const RENEWALS_PER_LEASE: u32 = 3;
/// Number of leases for which a drained upstream makes no call.
const LEASES_AFTER_DRAIN: u32 = 100;

/// What an upstream announces.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Announcement {
    /// Nothing yet, or nothing any more.
    Nothing,
    Ready {
        boot_ms: u64,
    },
    Draining,
    Leaving,
}

/// A call to the registry.
struct Call {
    method: Method,
    target: String,
    body: String,
}

/// What an upstream does after a call.
enum Next {
    /// It makes the next call after so long, or when its announcement changes.
    Wait(Duration),
    /// It has left.
    Left,
}

/// The upstreams that register with a registry.
pub struct Registrations {
    registry: Arc<RegistryProcess>,
    lease: Duration,
    announcements: Mutex<Vec<watch::Sender<Announcement>>>,
}

impl Registrations {
    /// None yet.
    pub fn new(registry: Arc<RegistryProcess>, lease: Duration) -> Arc<Self> {
        Arc::new(Self {
            registry,
            lease,
            announcements: Mutex::default(),
        })
    }

    /// The registry.
    pub fn registry(&self) -> &Arc<RegistryProcess> {
        &self.registry
    }

    /// Adds an upstream that announces nothing yet.
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

    /// Sets the state that an upstream announces from now on.
    pub fn announce(&self, upstream: u32, state: EndpointState, boot_ms: u64) {
        let announcement = match state {
            EndpointState::Ready => Announcement::Ready { boot_ms },
            EndpointState::Terminating => Announcement::Draining,
            EndpointState::Removed => Announcement::Leaving,
        };
        self.set(upstream, announcement);
    }

    /// Makes an upstream announce nothing any more.
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

/// The registration of one upstream.
struct Registration {
    registrations: Arc<Registrations>,
    upstream: u32,
    endpoint: SocketAddr,
    /// The start that the registry knows.
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
                Next::Left => self.registrations.set(self.upstream, Announcement::Nothing),
                Next::Wait(wait) => {
                    let _ = timeout(wait, announcements.changed()).await;
                }
            }
        }
    }

    /// The call that an announcement needs, `None` if there is nothing to announce.
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
            Announcement::Leaving => (Method::DELETE, path, String::new()),
        };
        Some(Call {
            method,
            target,
            body,
        })
    }

    fn on_response(&mut self, announcement: Announcement, status: Option<u16>) -> Next {
        let lease = self.registrations.lease;
        match (status, announcement) {
            (Some(200), Announcement::Ready { boot_ms }) => {
                self.registered_boot_ms = Some(boot_ms);
                Next::Wait(lease / RENEWALS_PER_LEASE)
            }
            // The registry does not know it any more: it registers again.
            (Some(404), Announcement::Ready { .. }) => {
                self.registered_boot_ms = None;
                Next::Wait(RETRY_INTERVAL)
            }
            (Some(200 | 404), Announcement::Leaving) => Next::Left,
            (Some(200 | 404), Announcement::Draining) => Next::Wait(lease * LEASES_AFTER_DRAIN),
            _ => Next::Wait(RETRY_INTERVAL),
        }
    }
}
