//! Checks and figures of membership, computed from every change of every view.
//!
//! The events are processed as they are recorded and are not stored, so that a simulation of
//! several days does not need memory for its history.

use super::membership_figures::MembershipFigures;
use crate::history::{EventKind, ProcessState};
use frostkeel_membership::{MemberState, Name};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of violations from which on no further false detection is described. All are counted
/// in the figures.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;

/// A violation of a rule for membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipViolation {
    /// Time of the violation, in microseconds since the start of the load.
    pub at_us: u64,
    /// Text that names the processes concerned and what they observed.
    pub description: String,
}

/// The view of a process, as recorded up to the current event.
#[derive(Default)]
pub(super) struct View {
    pub version: u64,
    /// Incarnations of the members that the view has as alive or suspected, by name.
    pub members: HashMap<Name, u64>,
    /// Hash of `members` that does not depend on their order.
    pub digest: u64,
}

/// A process that was killed, has crashed or was shut down.
pub(super) struct Departure {
    pub balancer: u32,
    pub name: Name,
    pub at_us: u64,
    pub is_graceful: bool,
    /// Numbers of the other members that were active at the time of the departure.
    pub witnesses: Vec<u32>,
    /// Time in microseconds at which an observer detected the departure, by the observer's number.
    pub known_at_us: HashMap<u32, u64>,
}

/// The state of a balancer's process.
#[derive(Default)]
pub(super) struct Member {
    name: Option<Name>,
    /// The incarnation with which the process started.
    incarnation: u64,
    is_alive: bool,
    is_paused: bool,
    /// Whether the process has yielded its name and is no longer a member.
    has_yielded: bool,
}

impl Member {
    fn is_active(&self) -> bool {
        self.is_alive && !self.has_yielded
    }
}

/// A change of an observer's view of a member.
struct ViewChange {
    at_us: u64,
    observer: u32,
    name: Name,
    incarnation: u64,
    state: MemberState,
    version: u64,
}

/// Processes the events of a run, and checks the views that they report.
#[derive(Default)]
pub struct MembershipChecker {
    members: BTreeMap<u32, Member>,
    pub(super) views: BTreeMap<u32, View>,
    pub(super) departures: Vec<Departure>,
    /// Number of active members that have a view with a digest, by the digest.
    pub(super) digests: HashMap<u64, usize>,
    pub(super) converged_since_us: Option<u64>,
    pub(super) figures: MembershipFigures,
    pub(super) violations: Vec<MembershipViolation>,
}

impl MembershipChecker {
    /// Processes an event that was recorded at `at_us`, in microseconds since the start of the
    /// load.
    pub fn observe(&mut self, at_us: u64, kind: &EventKind) {
        match *kind {
            EventKind::BalancerState { balancer, state } => {
                self.on_process_state(at_us, balancer, state);
            }
            EventKind::ViewChanged {
                observer,
                name,
                incarnation,
                state,
                version,
            } => {
                let change = ViewChange {
                    at_us,
                    observer,
                    name,
                    incarnation,
                    state,
                    version,
                };
                self.on_view_changed(&change);
            }
            EventKind::NameYielded { balancer } => {
                self.remove_digest(balancer);
                self.members.entry(balancer).or_default().has_yielded = true;
            }
            _ => return,
        }
        let is_converged = self.digests.len() <= 1;
        self.converged_since_us = is_converged.then(|| self.converged_since_us.unwrap_or(at_us));
    }

    pub(super) fn is_active(&self, balancer: u32) -> bool {
        self.members.get(&balancer).is_some_and(Member::is_active)
    }

    fn remove_digest(&mut self, balancer: u32) {
        if self.is_active(balancer)
            && let Some(view) = self.views.get(&balancer)
            && let Some(count) = self.digests.get_mut(&view.digest)
        {
            *count -= 1;
            if *count == 0 {
                self.digests.remove(&view.digest);
            }
        }
    }

    fn add_digest(&mut self, balancer: u32) {
        if self.is_active(balancer)
            && let Some(view) = self.views.get(&balancer)
        {
            *self.digests.entry(view.digest).or_default() += 1;
        }
    }

    fn on_process_state(&mut self, at_us: u64, balancer: u32, state: ProcessState) {
        match state {
            ProcessState::Killed | ProcessState::ShutdownRequested | ProcessState::Crashed => {
                let is_graceful = state == ProcessState::ShutdownRequested;
                self.on_departure(at_us, balancer, is_graceful);
            }
            ProcessState::Paused | ProcessState::Resumed => {
                let is_paused = state == ProcessState::Paused;
                self.members.entry(balancer).or_default().is_paused = is_paused;
            }
            _ => {}
        }
    }

    fn on_departure(&mut self, at_us: u64, balancer: u32, is_graceful: bool) {
        self.remove_digest(balancer);
        let member = self.members.entry(balancer).or_default();
        let was_alive = std::mem::replace(&mut member.is_alive, false);
        if let (true, Some(name)) = (was_alive, member.name) {
            let live = self.members.iter().filter(|(_, member)| member.is_active());
            let witnesses = live.map(|(number, _)| *number).collect();
            let known_at_us = HashMap::new();
            let departure = Departure {
                balancer,
                name,
                at_us,
                is_graceful,
                witnesses,
                known_at_us,
            };
            self.departures.push(departure);
        }
    }

    fn on_view_changed(&mut self, change: &ViewChange) {
        let observer = change.observer;
        let is_first = change.version == 1;
        if !is_first
            && !self
                .members
                .get(&observer)
                .is_some_and(|member| member.is_alive)
        {
            // Ignores a late line from the log of a process that was killed or shut down.
            return;
        }
        self.remove_digest(observer);
        if is_first {
            self.views.insert(observer, View::default());
            let member = Member {
                name: Some(change.name),
                incarnation: change.incarnation,
                is_alive: true,
                is_paused: false,
                has_yielded: false,
            };
            self.members.insert(observer, member);
        }
        self.check_version(change);
        let previous = self.update_view(change);
        self.add_digest(observer);
        match change.state {
            MemberState::Suspect => self.figures.suspicion_count += 1,
            MemberState::Alive => {
                // A change to a later incarnation shows that the previous one has ended.
                if previous.is_some_and(|previous| previous < change.incarnation) {
                    self.record_detection(change);
                }
            }
            MemberState::Left | MemberState::Dead => self.on_departure_observed(change),
        }
    }

    /// Applies a change to its observer's view, and returns the incarnation that the member had
    /// there.
    fn update_view(&mut self, change: &ViewChange) -> Option<u64> {
        let view = self.views.entry(change.observer).or_default();
        let previous = view.members.remove(&change.name);
        view.digest ^= previous.map_or(0, |incarnation| member_digest(change.name, incarnation));
        if change.state.is_live() {
            view.members.insert(change.name, change.incarnation);
            view.digest ^= member_digest(change.name, change.incarnation);
        }
        previous
    }

    /// Checks that a view's version increases by one with each change.
    ///
    /// Source: `docs/membership.md`, the `version` of each logged change.
    fn check_version(&mut self, change: &ViewChange) {
        let view = self.views.entry(change.observer).or_default();
        if change.version != view.version + 1 {
            let description = format!(
                "b{}: version {} of its view follows version {}, expected an increase by 1",
                change.observer, change.version, view.version
            );
            self.violations.push(MembershipViolation {
                at_us: change.at_us,
                description,
            });
        }
        view.version = change.version;
    }

    fn on_departure_observed(&mut self, change: &ViewChange) {
        if self.record_false_detection(change) {
            return;
        }
        let is_graceful = self
            .record_detection(change)
            .is_some_and(|departure| departure.is_graceful);
        let is_failure = change.state == MemberState::Dead;
        self.figures.left_declared_dead_count += usize::from(is_graceful && is_failure);
    }

    /// Returns whether a change reports a live process as left or dead, and counts it if it does. A
    /// report about an earlier incarnation of the process is correct. If the process is not paused
    /// at the time, the change is also a violation.
    ///
    /// Source: the experiment's `none_taken_for_gone` and `none_stopped_taken_for_gone`.
    fn record_false_detection(&mut self, change: &ViewChange) -> bool {
        let is_reported = |member: &&Member| {
            member.name == Some(change.name) && member.incarnation <= change.incarnation
        };
        let live = self
            .members
            .values()
            .filter(is_reported)
            .find(|member| member.is_active());
        let Some(member) = live else { return false };
        if member.is_paused {
            self.figures.paused_declared_down_count += 1;
            return true;
        }
        self.figures.running_declared_down_count += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            let description = format!(
                "b{} declared the live process {} {} at {:.3} s",
                change.observer,
                change.name,
                state_label(change.state),
                seconds(change.at_us)
            );
            self.violations.push(MembershipViolation {
                at_us: change.at_us,
                description,
            });
        }
        true
    }

    /// Records that an observer has detected the last departure of a member, and returns the
    /// departure.
    fn record_detection(&mut self, change: &ViewChange) -> Option<&Departure> {
        let departure =
            self.departures.iter_mut().rev().find(|departure| {
                departure.name == change.name && departure.at_us <= change.at_us
            })?;
        departure
            .known_at_us
            .entry(change.observer)
            .or_insert(change.at_us);
        Some(departure)
    }
}

/// Returns the name of a member's state as printed in the description of a violation.
fn state_label(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "Present",
        MemberState::Suspect => "Suspect",
        MemberState::Left => "Left",
        MemberState::Dead => "Gone",
    }
}

fn member_digest(name: Name, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, incarnation).hash(&mut hasher);
    hasher.finish()
}

pub(super) fn seconds(at_us: u64) -> f64 {
    at_us as f64 / 1e6
}
