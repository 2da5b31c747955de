//! One stand-in of an upstream: its state, shared by its sockets.

use super::upstream_model::UpstreamModel;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// Whether an upstream serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Up,
    /// It accepts connections and requests and does not respond.
    Unresponsive,
    /// It does not listen.
    Down,
}

/// An upstream.
pub(super) struct Upstream {
    number: u32,
    /// By balancer.
    endpoints: Arc<Vec<SocketAddr>>,
    phase: watch::Sender<Phase>,
    is_drained: watch::Sender<bool>,
    model: Mutex<UpstreamModel>,
    connection_count: AtomicU32,
    restart_count: AtomicU64,
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

    /// By balancer, where it is reached.
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

    /// Back to normal, unless it has crashed meanwhile.
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

    /// Counts a restart; returns how many there have been.
    pub fn count_restart(&self) -> u64 {
        1 + self.restart_count.fetch_add(1, Ordering::Relaxed)
    }

    pub fn restart(&self, model: UpstreamModel, boot_ms: u64) {
        *self.model() = model;
        *lock(&self.boot_ms) = boot_ms;
        self.set_phase(Phase::Up);
    }

    /// Counts a connection as open; returns how many there were before.
    pub fn open_connection(&self) -> u32 {
        self.connection_count.fetch_add(1, Ordering::Relaxed)
    }

    pub fn close_connection(&self) {
        self.connection_count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Its status, unless it is removed.
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

/// The status of an upstream in a run.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamStatus {
    /// Its number.
    pub number: u32,
    /// Its state, as a label.
    pub state: &'static str,
    /// Requests in flight.
    pub in_flight: usize,
    /// Share of its cores in use recently.
    pub utilization: f64,
}
