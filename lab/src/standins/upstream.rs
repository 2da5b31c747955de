//! The state of one stand-in upstream, which all its sockets share.

use super::upstream_model::UpstreamModel;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Whether an upstream accepts connections and responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It accepts connections and responds.
    Up,
    /// It accepts connections and requests but does not respond.
    Unresponsive,
    /// It does not listen.
    Down,
}

/// A stand-in upstream.
pub(super) struct Upstream {
    number: u32,
    /// Address at which each balancer reaches the upstream, by the balancer's number.
    endpoints: Arc<Vec<SocketAddr>>,
    phase: watch::Sender<Phase>,
    /// Whether its drain period is over; if so, it rejects all requests.
    is_drained: watch::Sender<bool>,
    model: Mutex<UpstreamModel>,
    connection_count: AtomicU32,
    restart_count: AtomicU64,
    /// Unix time of its last start in milliseconds; 0 if it started without a slow start.
    boot_ms: Mutex<u64>,
}

impl Upstream {
    pub fn new(
        number: u32,
        endpoints: Vec<SocketAddr>,
        model: UpstreamModel,
        boot_ms: u64,
    ) -> Self {
        Self {
            number,
            endpoints: Arc::new(endpoints),
            phase: watch::Sender::new(Phase::Up),
            is_drained: watch::Sender::new(false),
            model: Mutex::new(model),
            connection_count: AtomicU32::new(0),
            restart_count: AtomicU64::new(0),
            boot_ms: Mutex::new(boot_ms),
        }
    }

    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the address at which each balancer reaches the upstream, by the balancer's number.
    pub fn endpoints(&self) -> &Arc<Vec<SocketAddr>> {
        &self.endpoints
    }

    pub fn model(&self) -> MutexGuard<'_, UpstreamModel> {
        lock(&self.model)
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Ends the unresponsive phase, unless the upstream has crashed during it.
    pub fn end_unresponsiveness(&self) {
        self.phase.send_if_modified(|phase| {
            let is_unresponsive = *phase == Phase::Unresponsive;
            if is_unresponsive {
                *phase = Phase::Up;
            }
            is_unresponsive
        });
    }

    pub fn is_drained(&self) -> bool {
        *self.is_drained.borrow()
    }

    pub fn set_drained(&self) {
        self.is_drained.send_replace(true);
    }

    pub fn boot_ms(&self) -> u64 {
        *lock(&self.boot_ms)
    }

    /// Counts a restart; returns the total number of restarts.
    pub fn count_restart(&self) -> u64 {
        1 + self.restart_count.fetch_add(1, Ordering::Relaxed)
    }

    pub fn restart(&self, model: UpstreamModel, boot_ms: u64) {
        *self.model() = model;
        *lock(&self.boot_ms) = boot_ms;
        self.set_phase(Phase::Up);
    }

    /// Counts a new connection; returns the number of connections that were open before.
    pub fn open_connection(&self) -> u32 {
        self.connection_count.fetch_add(1, Ordering::Relaxed)
    }

    pub fn close_connection(&self) {
        self.connection_count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the upstream's status for display; `None` if the upstream has been replaced and no
    /// longer listens. `now` is in seconds from the start of the load.
    pub fn status(&self, now: f64) -> Option<UpstreamStatus> {
        let is_drained = self.is_drained();
        let state = match self.phase() {
            Phase::Down if is_drained => return None,
            Phase::Down => "down",
            Phase::Unresponsive => "silent",
            Phase::Up if is_drained => "drained",
            Phase::Up => "up",
        };
        let mut model = self.model();
        let (in_flight, utilization) = match state {
            "up" => (model.in_flight(), model.report(now).utilization),
            _ => (0, 0.0),
        };
        Some(UpstreamStatus {
            number: self.number,
            state,
            in_flight,
            utilization,
        })
    }
}

/// The status of one upstream during a run.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamStatus {
    /// Number of the upstream.
    pub number: u32,
    /// Label of its state: `up`, `drained`, `silent` (unresponsive) or `down`.
    pub state: &'static str,
    /// Number of requests in flight; 0 unless its state is `up`.
    pub in_flight: usize,
    /// Share of the upstream's cores in use according to its last load report; 0 unless its state
    /// is `up`.
    pub utilization: f64,
}
