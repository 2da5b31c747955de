//! The upstreams that a balancer knows, by slot.

use super::idle_connections::ConnectionUse;
use crate::interface::{CellId, UpstreamId, ZoneId};
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

/// An upstream as one balancer sees it.
#[derive(Default)]
pub(super) struct Upstream {
    pub(super) id: UpstreamId,
    pub(super) zone: ZoneId,
    pub(super) cell: CellId,
    pub(super) ready: bool,
    pub(super) draining: bool,
    pub(super) member: bool,         // of the subset that takes turns
    pub(super) fresh: bool, // new, restarted or back from ejection since the subset was last chosen
    pub(super) size: f64,   // endpoints size; with live weights the largest seen
    pub(super) started: Option<f64>, // begins the climb from cold; None: long warm
    pub(super) in_flight: u32, // q_j: this balancer's own
    pub(super) overdue: u32, // of these, out for longer than usual
    pub(super) ghosts: f64, // given up, perhaps still at work; fading over the shortest objective
    pub(super) held: f64,   // what others hold there, by the latest report
    pub(super) held_at: f64,
    pub(super) told: f64,   // what it holds in all, by the same
    pub(super) budget: f64, // sends earned by the clock
    pub(super) busy: f64,   // share of its cores in use, by the latest report
    pub(super) busy_at: f64,
    pub(super) pace: f64,     // mean of latency over what is usual for the class
    pub(super) seen: f64,     // answers behind it, fading
    pub(super) erred_at: f64, // an error came back last
    pub(super) heard: f64,    // anything came back last: an answer, an error or a refusal
    pub(super) doubt: f64,    // by faults of whatever class, less by answers
    pub(super) ejections: u32,
    pub(super) ejected_until: f64,
    pub(super) health: Vec<Health>, // by class
    pub(super) connections: ConnectionUse,
    pub(super) capacity: f64, // share of a full-size upstream's work it can do now
    pub(super) weight: f64,   // turns it gets each round of the ring
    pub(super) credit: f64,   // turns earned and not taken
}

/// What one class has met at one upstream.
#[derive(Clone, Default)]
pub(super) struct Health {
    pub(super) faults: u32,   // since the last answer
    pub(super) ejected: bool, // for this class
    pub(super) tried: f64,    // then or by a trial since
}

/// All upstreams, by slot. A slot stays an upstream's own until [`Upstreams::retain`].
#[derive(Default)]
pub(super) struct Upstreams {
    upstreams: Vec<Upstream>,
    slots: FxHashMap<UpstreamId, usize>,
}

impl Upstreams {
    pub(super) fn len(&self) -> usize {
        self.upstreams.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Entries of state.
    pub(super) fn entry_count(&self) -> usize {
        self.upstreams.len() + self.slots.len()
    }

    pub(super) fn slot(&self, id: UpstreamId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut()
    }

    pub(super) fn push(&mut self, upstream: Upstream) -> usize {
        let slot = self.upstreams.len();
        self.slots.insert(upstream.id, slot);
        self.upstreams.push(upstream);
        slot
    }

    /// Forgets the upstreams that `is_kept` does not hold for, and gives the others new slots.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&Upstream) -> bool) {
        self.upstreams.retain(is_kept);
        let ids = self.upstreams.iter().enumerate();
        self.slots = ids.map(|(slot, upstream)| (upstream.id, slot)).collect();
    }
}

impl Index<usize> for Upstreams {
    type Output = Upstream;

    fn index(&self, slot: usize) -> &Upstream {
        &self.upstreams[slot]
    }
}

impl IndexMut<usize> for Upstreams {
    fn index_mut(&mut self, slot: usize) -> &mut Upstream {
        &mut self.upstreams[slot]
    }
}
