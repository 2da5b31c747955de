//! Applies updates of the endpoint list to the known upstreams.

use super::idle_connections::ConnectionUse;
use super::load::{LoadReportTracker, UpstreamLoad};
use super::pacing::SendBudget;
use super::round_robin::Deficit;
use super::subset::SubsetMembership;
use super::upstream_health::UpstreamHealth;
use super::upstreams::{Upstream, Upstreams};
use super::weights::{UpstreamWeight, Weights};
use crate::interface::{
    Availability, CellId, Endpoint, EndpointWeights, UpdateScope, UpstreamId, ZoneId,
};
use crate::random::Random;

/// Divisor for the number of removed upstreams to retain. Removed upstreams without attempts in
/// flight are forgotten if their number exceeds the number of known upstreams divided by this
/// number, and whenever the list adds an upstream.
const MAX_REMOVED_DIVISOR: usize = 4;

/// The entry of one upstream in the list.
pub(super) struct EndpointRecord {
    id: UpstreamId,
    zone: ZoneId,
    /// Group of this upstream and the upstreams with which it shares a record of the idempotency
    /// keys that they have received.
    dedup_cell: CellId,
    availability: Availability,
    /// Size of the upstream according to the list; with live weights, the largest weight received;
    /// one if weights are off in the settings.
    size: f64,
}

impl EndpointRecord {
    pub(super) fn id(&self) -> UpstreamId {
        self.id
    }

    pub(super) fn zone(&self) -> ZoneId {
        self.zone
    }

    pub(super) fn dedup_cell(&self) -> CellId {
        self.dedup_cell
    }

    /// Returns the capacity outside slow start, relative to the sizes of the other upstreams.
    pub(super) fn size(&self) -> f64 {
        self.size
    }

    pub(super) fn is_ready(&self) -> bool {
        self.availability == Availability::Ready
    }
}

impl Upstream {
    /// Returns an upstream that is new in the list, before its entry is applied.
    fn new(
        id: UpstreamId,
        class_count: usize,
        slow_start_since_s: Option<f64>,
        is_new: bool,
        initial_deficit: f64,
    ) -> Self {
        Self {
            endpoint: EndpointRecord {
                id,
                zone: ZoneId::default(),
                dedup_cell: CellId::default(),
                availability: Availability::Removed,
                size: 0.0,
            },
            membership: SubsetMembership::new(is_new),
            weight: UpstreamWeight::new(slow_start_since_s),
            load: UpstreamLoad::default(),
            health: UpstreamHealth::new(class_count),
            send_budget: SendBudget::full(),
            deficit: Deficit::new(initial_deficit),
            connections: ConnectionUse::default(),
        }
    }

    /// Returns whether the upstream is removed and has nothing in flight.
    fn is_removable(&self) -> bool {
        self.endpoint.availability == Availability::Removed && self.load.in_flight() == 0
    }

    /// Discards the history of the upstream and begins its slow start, as its process has
    /// restarted.
    fn restart(&mut self, started_at_s: f64, initial_deficit: f64) {
        self.weight.begin_slow_start(started_at_s);
        self.health.reset();
        self.deficit = Deficit::new(initial_deficit);
        self.membership.mark_new();
    }
}

/// Inputs of an update other than the list itself.
pub(super) struct UpdateContext<'a> {
    pub(super) endpoint_weights: EndpointWeights,
    pub(super) class_count: usize,
    pub(super) weights: &'a Weights,
    pub(super) load_reports: &'a LoadReportTracker,
    pub(super) random: &'a mut Random,
    pub(super) now_s: f64,
}

/// Applies an update of the list. Returns whether the subset has to be chosen again.
pub(super) fn apply_update(
    upstreams: &mut Upstreams,
    scope: UpdateScope,
    endpoints: &[Endpoint],
    context: &mut UpdateContext<'_>,
) -> bool {
    let mut needs_new_subset = scope != UpdateScope::Delta;
    if needs_new_subset {
        // An upstream that is missing from a snapshot is removed.
        upstreams
            .iter_mut()
            .for_each(|u| u.endpoint.availability = Availability::Removed);
    }
    // An upstream that is not in the first list counts as started when it first appears, unless its
    // entry states when it started.
    let is_first_list = upstreams.is_empty();
    let previous_upstream_count = upstreams.len();
    for endpoint in endpoints {
        let started_at_s = endpoint.started.map(|started| started.as_secs_f64());
        let slot = upstreams.slot(endpoint.id).unwrap_or_else(|| {
            let slow_start_since_s = started_at_s.or((!is_first_list).then_some(context.now_s));
            let initial_deficit = context.random.f64();
            let class_count = context.class_count;
            upstreams.push(Upstream::new(
                endpoint.id,
                class_count,
                slow_start_since_s,
                !is_first_list,
                initial_deficit,
            ))
        });
        needs_new_subset |= context.apply_endpoint(&mut upstreams[slot], endpoint, started_at_s);
    }
    let removable_count = upstreams
        .iter()
        .filter(|upstream| upstream.is_removable())
        .count();
    if upstreams.len() > previous_upstream_count
        || removable_count > upstreams.len() / MAX_REMOVED_DIVISOR
    {
        // Removed upstreams are forgotten: otherwise the state would grow without bound.
        upstreams.retain(|upstream| !upstream.is_removable());
        needs_new_subset = true;
    }
    needs_new_subset
}

impl UpdateContext<'_> {
    /// Applies an entry of the list. Returns whether the subset has to be chosen again.
    fn apply_endpoint(
        &mut self,
        upstream: &mut Upstream,
        endpoint: &Endpoint,
        started_at_s: Option<f64>,
    ) -> bool {
        let was_ready = upstream.endpoint.is_ready();
        upstream.endpoint.zone = endpoint.zone;
        upstream.endpoint.dedup_cell = endpoint.cell;
        upstream.endpoint.availability = endpoint.availability;
        self.apply_weight(upstream, endpoint.weight);
        let restarted_at_s = started_at_s.filter(|at_s| {
            self.weights.is_recent_start(*at_s, self.now_s) && upstream.weight.is_later_start(*at_s)
        });
        if let Some(at_s) = restarted_at_s {
            upstream.restart(at_s, self.random.f64());
        }
        restarted_at_s.is_some() || was_ready != upstream.endpoint.is_ready()
    }

    fn apply_weight(&self, upstream: &mut Upstream, weight: f64) {
        let weight = if weight > 0.0 && weight.is_finite() {
            weight
        } else {
            1.0
        };
        let size = &mut upstream.endpoint.size;
        match self.endpoint_weights {
            EndpointWeights::Off => *size = 1.0,
            EndpointWeights::Size => *size = weight,
            EndpointWeights::Live => {
                *size = size.max(weight);
                let in_flight_per_core = *size / weight - 1.0;
                self.load_reports.record_live_weight(
                    &mut upstream.load,
                    in_flight_per_core,
                    self.now_s,
                );
            }
        }
    }
}
