//! The upstreams that a balancer knows: one record for each, with the state that every module has
//! of it.

use super::endpoints::EndpointRecord;
use super::idle_connections::ConnectionUse;
use super::load::UpstreamLoad;

use super::pacing::SendBudget;
use super::round_robin::Deficit;
use super::subset::SubsetMembership;
use super::upstream_health::UpstreamHealth;
use super::weights::UpstreamWeight;
use crate::interface::UpstreamId;
use rustc_hash::FxHashMap;
use std::ops::{Index, IndexMut};

/// An upstream. Each field belongs to the module that declares its type.
pub(super) struct Upstream {
    pub(super) endpoint: EndpointRecord,
    pub(super) membership: SubsetMembership,
    pub(super) weight: UpstreamWeight,
    pub(super) load: UpstreamLoad,
    pub(super) health: UpstreamHealth,
    pub(super) send_budget: SendBudget,
    pub(super) deficit: Deficit,
    pub(super) connections: ConnectionUse,
}

/// All upstreams, by slot: an index that stays the same until [`Upstreams::retain`].
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

    /// Returns the number of entries in the collections of state.
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
        self.slots.insert(upstream.endpoint.id(), slot);
        self.upstreams.push(upstream);
        slot
    }

    /// Forgets the upstreams for which `is_retained` is false, and gives the others new slots.
    pub(super) fn retain(&mut self, is_retained: impl Fn(&Upstream) -> bool) {
        self.upstreams.retain(is_retained);
        let ids = self.upstreams.iter().enumerate();
        self.slots = ids
            .map(|(slot, upstream)| (upstream.endpoint.id(), slot))
            .collect();
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
