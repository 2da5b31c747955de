//! The upstreams that a balancer knows, by slot.

use super::idle_connections::ConnectionUse;
use super::load::UpstreamLoad;
use super::pacing::SendBudget;
use super::round_robin::Deficit;
use super::upstream_health::UpstreamHealth;
use super::weights::UpstreamWeight;
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
    pub(super) member: bool, // of the subset that takes turns
    pub(super) fresh: bool, // new, restarted or back from ejection since the subset was last chosen
    pub(super) size: f64,   // endpoints size; with live weights the largest seen
    pub(super) load: UpstreamLoad,
    pub(super) send_budget: SendBudget,
    pub(super) health: UpstreamHealth,
    pub(super) connections: ConnectionUse,
    pub(super) weight: UpstreamWeight,
    pub(super) deficit: Deficit,
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
