//! The balancer's server, run in the test's own process, so that the test controls the clock.

use super::{SMALL_BUFFER_BYTES, into_tokio_listener, raw_listener, unreachable_address};
use frostkeel_balancer::client::{Phase, Server};
use frostkeel_balancer::discovery::{Discovery, EndpointEntry, EndpointUpdate};
use frostkeel_balancer::event_loop::EventLoop;
use frostkeel_balancer::memory_budget::MemoryBudget;
use frostkeel_balancer::request_counters::RequestCounters;
use frostkeel_balancer::upstream::{EndpointState, Upstreams};
use frostkeel_policy::{
    Availability, Balancer, CellId, Class, Effect, HardwareKindId, Settings, Tenant, UpdateScope,
    UpstreamId, ZoneId,
};
use frostkeel_settings::{Names, Site};
use socket2::Socket;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The maximum number of connections to the upstream, and the length of the listener's backlog.
const MAX_CONNECTIONS: usize = 8;

fn site() -> Site {
    let class = Class {
        effect: Effect::Idempotent,
        deadline: Duration::from_secs(60),
        ..Class::default()
    };
    Site {
        settings: Settings {
            classes: vec![class],
            tenants: vec![Tenant {
                quota_per_s: 1000.0,
            }],
            ..Settings::default()
        },
        names: Names {
            classes: vec!["look".to_owned()],
            tenants: vec!["acme".to_owned()],
            ..Names::default()
        },
    }
}

/// Returns a list with one ready endpoint.
fn cached_list(address: SocketAddr) -> EndpointUpdate {
    let state = EndpointState {
        address: Some(address),
        availability: Availability::Ready,
        boot_ms: 0,
    };
    let entry = EndpointEntry {
        id: UpstreamId(1),
        zone: ZoneId(0),
        hardware_kind: HardwareKindId(0),
        cell: CellId(0),
        weight: 1.0,
        state,
    };
    EndpointUpdate {
        scope: UpdateScope::Cached,
        entries: vec![entry],
    }
}

/// The balancer's server, run in the test's process, and the listener of one upstream, whose
/// connections the test reads and writes.
pub struct TestServer {
    pub address: SocketAddr,
    pub phase: watch::Sender<Phase>,
    pub upstream: TcpListener,
}

impl TestServer {
    /// Starts a server with small send buffers, which serves at most `max_clients` connections at
    /// a time.
    pub async fn start(max_clients: usize) -> Self {
        Self::start_with_memory(max_clients, &MemoryBudget::unlimited()).await
    }

    /// Starts a server like [`Self::start`], with this budget.
    pub async fn start_with_memory(max_clients: usize, memory: &Arc<MemoryBudget>) -> Self {
        Self::start_with(max_clients, memory, Some(SMALL_BUFFER_BYTES)).await
    }

    /// Starts a server like [`Self::start`], with send buffers of the default size.
    pub async fn start_with_default_buffers(max_clients: usize) -> Self {
        Self::start_with(max_clients, &MemoryBudget::unlimited(), None).await
    }

    async fn start_with(
        max_clients: usize,
        memory: &Arc<MemoryBudget>,
        send_buffer_bytes: Option<usize>,
    ) -> Self {
        let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let site = site();
        let event_loop = EventLoop::start(
            Balancer::new(site.settings.clone(), 7).unwrap(),
            RequestCounters::new(&site),
            Upstreams::new(&site.settings, MAX_CONNECTIONS, memory),
            Discovery::new(unreachable_address(), site.names.clone(), memory),
            cached_list(upstream.local_addr().unwrap()),
        );
        // Accepted connections inherit the buffer size from the listener.
        let configure = |listener: &Socket| {
            if let Some(bytes) = send_buffer_bytes {
                listener.set_send_buffer_size(bytes).unwrap();
            }
        };
        let listener = into_tokio_listener(raw_listener(configure, MAX_CONNECTIONS as i32));
        let address = listener.local_addr().unwrap();
        let (phase, phases) = watch::channel(Phase::Serving);
        let server = Server::new(event_loop, &site, phases, max_clients, memory);
        spawn_local(server.run(listener));
        Self {
            address,
            phase,
            upstream,
        }
    }
}
