//! The state that the lab keeps of one balancer across its restarts.

use crate::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Whether the process of a balancer runs, with its process id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    Stopped,
    Running(Pid),
}

/// The state of a running balancer that results from signals of the lab.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SignalState {
    /// Whether the lab has sent SIGTERM or SIGKILL, so that an exit is expected.
    pub is_ending: bool,
    /// Whether a pause (SIGSTOP) is in progress.
    pub is_paused: bool,
}

/// The state of one balancer, identified by its number, across its restarts.
pub(super) struct Slot {
    state: watch::Sender<RunState>,
    signal_state: Mutex<SignalState>,
    /// The number of times that the balancer has been started.
    start_count: Mutex<u64>,
    /// The name of the balancer from its next start on.
    name: Mutex<String>,
}

impl Slot {
    pub fn new(name: String) -> Self {
        Self {
            state: watch::Sender::new(RunState::Stopped),
            signal_state: Mutex::default(),
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

    /// Counts a start, and returns the number of starts, this start included.
    pub fn count_start(&self) -> u64 {
        let mut start_count = lock(&self.start_count);
        *start_count += 1;
        *start_count
    }

    pub fn set_running(&self, pid: Pid) {
        lock(&self.signal_state).is_ending = false;
        self.state.send_replace(RunState::Running(pid));
    }

    /// Records that the process has exited.
    pub fn set_stopped(&self) {
        self.state.send_replace(RunState::Stopped);
    }

    /// Records that the lab ends the process, so that its exit is expected.
    pub fn set_ending(&self) {
        lock(&self.signal_state).is_ending = true;
    }

    pub fn is_ending(&self) -> bool {
        lock(&self.signal_state).is_ending
    }

    pub fn set_paused(&self, is_paused: bool) {
        lock(&self.signal_state).is_paused = is_paused;
    }

    /// Sends a signal to the balancer's process. Returns whether a process runs and the signal was
    /// sent.
    pub fn signal(&self, signal: Signal) -> bool {
        let state = *self.state.borrow();
        matches!(state, RunState::Running(pid) if kill_process(pid, signal).is_ok())
    }

    /// Waits until the process has exited, for `limit` at most. Returns whether the process has
    /// exited.
    pub async fn wait_until_stopped(&self, limit: Duration) -> bool {
        let mut state = self.state.subscribe();
        timeout(limit, state.wait_for(|state| *state == RunState::Stopped))
            .await
            .is_ok()
    }

    /// Returns the status of the balancer: `up`, `down`, `stopped` or `leaving`.
    pub fn status(&self) -> &'static str {
        let signal_state = *lock(&self.signal_state);
        match *self.state.borrow() {
            RunState::Stopped => "down",
            RunState::Running(_) if signal_state.is_paused => "stopped",
            RunState::Running(_) if signal_state.is_ending => "leaving",
            RunState::Running(_) => "up",
        }
    }
}
