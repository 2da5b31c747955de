//! The slot of one balancer in a run, over all its starts.

use crate::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Whether a balancer runs, and what the lab has done to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    Stopped,
    Running(Pid),
}

/// What the lab has done to a running balancer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Intent {
    /// The lab has sent it SIGKILL or SIGTERM.
    pub is_ending: bool,
    pub is_paused: bool,
}

/// The slot of one balancer.
pub(super) struct Slot {
    state: watch::Sender<RunState>,
    intent: Mutex<Intent>,
    start_count: Mutex<u64>,
    /// Its name at its next start.
    name: Mutex<String>,
}

impl Slot {
    pub fn new(name: String) -> Self {
        Self {
            state: watch::Sender::new(RunState::Stopped),
            intent: Mutex::default(),
            start_count: Mutex::default(),
            name: Mutex::new(name),
        }
    }

    pub fn name(&self) -> String {
        lock(&self.name).clone()
    }

    pub fn set_name(&self, name: String) {
        *lock(&self.name) = name;
    }

    /// Counts a start; returns how many there have been, this one included.
    pub fn count_start(&self) -> u64 {
        let mut start_count = lock(&self.start_count);
        *start_count += 1;
        *start_count
    }

    pub fn set_running(&self, pid: Pid) {
        lock(&self.intent).is_ending = false;
        self.state.send_replace(RunState::Running(pid));
    }

    /// The process has exited.
    pub fn set_stopped(&self) {
        self.state.send_replace(RunState::Stopped);
    }

    pub fn set_ending(&self) {
        lock(&self.intent).is_ending = true;
    }

    pub fn is_ending(&self) -> bool {
        lock(&self.intent).is_ending
    }

    pub fn set_paused(&self, is_paused: bool) {
        lock(&self.intent).is_paused = is_paused;
    }

    /// Sends a signal; returns whether there is a process that got it.
    pub fn signal(&self, signal: Signal) -> bool {
        let state = *self.state.borrow();
        matches!(state, RunState::Running(pid) if kill_process(pid, signal).is_ok())
    }

    /// Waits until the process has exited; returns whether it has within a time.
    pub async fn wait_until_stopped(&self, within: Duration) -> bool {
        let mut state = self.state.subscribe();
        timeout(within, state.wait_for(|state| *state == RunState::Stopped))
            .await
            .is_ok()
    }

    /// Its status, as a label.
    pub fn status(&self) -> &'static str {
        let intent = *lock(&self.intent);
        match *self.state.borrow() {
            RunState::Stopped => "down",
            RunState::Running(_) if intent.is_paused => "stopped",
            RunState::Running(_) if intent.is_ending => "leaving",
            RunState::Running(_) => "up",
        }
    }
}
