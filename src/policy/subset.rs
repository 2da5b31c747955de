//! The subset of the upstreams that one balancer sends to: all that are ready, or a part if the
//! balancer has too little traffic to use a connection to each regularly and to estimate the state
//! of each.
//!
//! Balancers share a shuffled order of the upstreams and take adjacent parts of it, so that each
//! upstream is in about as many subsets as any other. A subset guards against connection exhaustion
//! at the upstreams and against decisions based on stale data. Its disadvantage is that there are
//! fewer upstreams to choose from.

use super::capacity::RATE_TIME_CONSTANT_S;
use super::outlier_detection::may_be_ejected;
use super::smoothing::{newest_weight, per_second};
use super::upstreams::Upstreams;
use crate::interface::{Settings, UpstreamId};
use crate::random::Random;

/// Number of upstreams in a subset for each request per second that the balancer gets or is
/// expected to get.
const UPSTREAMS_PER_REQUEST_PER_S: f64 = 0.7;
/// Smallest size of a subset that the traffic can give, in upstreams.
const MIN_TRAFFIC_SIZE: f64 = 2.0;
/// Largest size of a subset that the traffic can give, in upstreams.
const MAX_TRAFFIC_SIZE: f64 = 1e6;
/// Smallest mean number of subsets that contain an upstream. If there are few balancers, their
/// subsets are therefore larger; a single balancer takes all upstreams.
const MIN_SUBSETS_PER_UPSTREAM: usize = 4;
/// Numerator of a fraction of the ready upstreams. If the subset should contain at least this
/// fraction, it contains all ready upstreams.
const INCLUDES_ALL_NUMERATOR: usize = 4;
/// Denominator of the fraction that [`INCLUDES_ALL_NUMERATOR`] describes.
const INCLUDES_ALL_DENOMINATOR: usize = 5;
/// Numerator of the growth factor. The size for the traffic replaces the present size if it is at
/// least the present size times this factor, so that random variation does not change the subset.
const GROWTH_NUMERATOR: usize = 3;
/// Denominator of the growth factor that [`GROWTH_NUMERATOR`] describes.
const GROWTH_DENOMINATOR: usize = 2;
/// Divisor for a smaller size. The size for the traffic replaces the present size if it is at most
/// the present size divided by this number, so that random variation does not change the subset.
const SHRINK_DENOMINATOR: usize = 3;

/// The membership of one upstream in the subset.
#[derive(Clone, Copy)]
pub(super) struct SubsetMembership {
    is_member: bool,
    /// Whether the upstream was added after the first list, has restarted, or has been ejected. A
    /// choice of the subset clears this flag if the upstream is ready and not ejected.
    is_new: bool,
}

impl SubsetMembership {
    pub(super) fn new(is_new: bool) -> Self {
        Self {
            is_member: false,
            is_new,
        }
    }

    pub(super) fn is_member(self) -> bool {
        self.is_member
    }

    pub(super) fn mark_new(&mut self) {
        self.is_new = true;
    }
}

/// The result of a choice of the subset.
pub(super) struct SubsetChoice {
    /// Slots of the members, in the order that balancers share.
    pub(super) member_slots: Vec<usize>,
    /// Upstreams that are no longer members although they are ready.
    pub(super) removed_ids: Vec<UpstreamId>,
    /// Whether the subset is limited to a part of the ready upstreams.
    pub(super) is_partial: bool,
}

/// The number of ready upstreams that the subset should contain.
struct SubsetSizes {
    /// The number for a balancer that gets an equal part of the traffic of all balancers; the parts
    /// of the shared order have this length.
    equal_traffic_size: usize,
    /// The number for the traffic that this balancer gets; at least `equal_traffic_size`.
    own_traffic_size: usize,
    /// Whether the subset contains all ready upstreams.
    includes_all: bool,
}

/// The size of the subset, and the time at which it is chosen again.
pub(super) struct Subset {
    balancer_count: u32,
    /// This balancer's number among all balancers, from 0.
    balancer_index: u32,
    /// Smallest value of `traffic_size`, in upstreams: the number for the traffic that this
    /// balancer would get if the expected traffic were divided equally among all balancers.
    min_traffic_size: usize,
    /// Number of upstreams for the traffic that this balancer gets.
    traffic_size: usize,
    /// First attempts of clients since the last tick; the admitted requests if clients do not mark
    /// their retries.
    first_attempt_count: f64,
    /// First attempts per second, smoothed.
    first_attempts_per_s: f64,
    /// Number of balancers that send to each upstream if the subsets are spread equally.
    balancers_per_upstream: f64,
    /// Time from which on a new choice of the subset is due; infinite if none is planned. The first
    /// tick from this time on makes the choice.
    next_choice_at_s: f64,
}

impl Subset {
    pub(super) fn new(settings: &Settings, expected_requests_per_s: f64) -> Self {
        let traffic_size = (UPSTREAMS_PER_REQUEST_PER_S * expected_requests_per_s)
            .clamp(MIN_TRAFFIC_SIZE, MAX_TRAFFIC_SIZE) as usize;
        Self {
            balancer_count: settings.balancers,
            balancer_index: settings.index,
            min_traffic_size: traffic_size,
            traffic_size,
            first_attempt_count: 0.0,
            first_attempts_per_s: expected_requests_per_s,
            balancers_per_upstream: 0.0,
            next_choice_at_s: 0.0,
        }
    }

    pub(super) fn balancers_per_upstream(&self) -> f64 {
        self.balancers_per_upstream
    }

    /// Records a client's first attempt. If clients do not mark their retries, the caller records
    /// the admitted requests instead: if it recorded all requests, retries would count as traffic.
    pub(super) fn record_first_attempt(&mut self) {
        self.first_attempt_count += 1.0;
    }

    /// Schedules a new choice of the subset at the next tick.
    pub(super) fn schedule_choice(&mut self, now_s: f64) {
        self.next_choice_at_s = now_s;
    }

    pub(super) fn is_choice_due(&self, now_s: f64) -> bool {
        now_s >= self.next_choice_at_s
    }

    /// Adapts the size to the traffic, once per tick. Traffic is uneven: a balancer with several
    /// times the mean traffic would overload a subset as large as those of the other balancers
    /// while other upstreams are idle. `has_upstreams_outside` is true if there are upstreams
    /// outside the subset.
    pub(super) fn update_size(&mut self, has_upstreams_outside: bool, elapsed_s: f64, now_s: f64) {
        let newest_first_attempts_per_s = per_second(self.first_attempt_count, elapsed_s);
        let weight_of_newest = newest_weight(elapsed_s, RATE_TIME_CONSTANT_S);
        self.first_attempts_per_s +=
            weight_of_newest * (newest_first_attempts_per_s - self.first_attempts_per_s);
        self.first_attempt_count = 0.0;
        let new_traffic_size = UPSTREAMS_PER_REQUEST_PER_S * self.first_attempts_per_s;
        let new_traffic_size =
            new_traffic_size.clamp(self.min_traffic_size as f64, MAX_TRAFFIC_SIZE) as usize;
        let grows = new_traffic_size * GROWTH_DENOMINATOR >= self.traffic_size * GROWTH_NUMERATOR
            && has_upstreams_outside;
        if grows || new_traffic_size * SHRINK_DENOMINATOR <= self.traffic_size {
            self.traffic_size = new_traffic_size;
            self.next_choice_at_s = now_s;
        }
    }

    /// Chooses the members. Ejected upstreams are replaced by the next ones in the order.
    pub(super) fn choose(&mut self, upstreams: &mut Upstreams, now_s: f64) -> SubsetChoice {
        let ready = |slot: &usize| upstreams[*slot].endpoint.is_ready();
        let mut ordered_slots: Vec<usize> = (0..upstreams.len()).filter(ready).collect();
        let sizes = self.choose_sizes(ordered_slots.len());
        if !sizes.includes_all {
            self.sort(&mut ordered_slots, upstreams, &sizes);
        }
        // If more upstreams seem unhealthy than may be ejected, the cause is common to them, and no
        // upstream is replaced: an infinite `min_ejected_until_s` lets none count as ejected.
        let is_ejected = |slot: &&usize| upstreams[**slot].health.is_ejected(now_s);
        let ejected_count = ordered_slots.iter().filter(is_ejected).count();
        let may_eject = may_be_ejected(ejected_count, ordered_slots.len());
        let min_ejected_until_s = if may_eject { now_s } else { f64::INFINITY };
        for upstream in upstreams.iter_mut() {
            upstream.membership.is_member &= upstream.endpoint.is_ready();
        }
        // The subset is chosen again when an ejection ends.
        let ejection_end_times_s = upstreams
            .iter()
            .map(|upstream| upstream.health.ejected_until_s());
        self.next_choice_at_s = ejection_end_times_s
            .filter(|end_s| *end_s > now_s)
            .fold(f64::INFINITY, f64::min);
        let removed_ids = set_members(&ordered_slots, upstreams, &sizes, min_ejected_until_s);
        let equal_traffic_fraction = sizes.equal_traffic_size.min(ordered_slots.len()) as f64
            / ordered_slots.len().max(1) as f64;
        self.balancers_per_upstream =
            (f64::from(self.balancer_count) * equal_traffic_fraction).max(1.0);
        ordered_slots.retain(|slot| upstreams[*slot].membership.is_member);
        SubsetChoice {
            member_slots: ordered_slots,
            removed_ids,
            is_partial: !sizes.includes_all,
        }
    }

    fn choose_sizes(&self, ready_count: usize) -> SubsetSizes {
        let balancer_count = (self.balancer_count as usize).max(1);
        let equal_traffic_size = self
            .min_traffic_size
            .max(MIN_SUBSETS_PER_UPSTREAM * ready_count / balancer_count);
        let own_traffic_size = equal_traffic_size.max(self.traffic_size);
        let includes_all =
            own_traffic_size * INCLUDES_ALL_DENOMINATOR >= ready_count * INCLUDES_ALL_NUMERATOR;
        SubsetSizes {
            equal_traffic_size,
            own_traffic_size,
            includes_all,
        }
    }

    /// Puts the upstreams into the order that balancers share, starting with the part of this
    /// balancer. When all parts are taken, the next balancers share another order.
    fn sort(&self, ordered_slots: &mut [usize], upstreams: &Upstreams, sizes: &SubsetSizes) {
        let part_count = (ordered_slots.len() / sizes.equal_traffic_size.max(1)).max(1);
        let balancer_index = self.balancer_index as usize;
        let (order_number, start_position) = (
            balancer_index / part_count,
            balancer_index % part_count * sizes.equal_traffic_size,
        );
        let key = |slot: &usize| {
            let id = upstreams[*slot].endpoint.id();
            Random::with_seed(id.0 ^ (order_number as u64) << 48).u64(..)
        };
        ordered_slots.sort_by_cached_key(key);
        ordered_slots.rotate_left(start_position % ordered_slots.len().max(1));
    }
}

/// Sets which upstreams are members. Returns the ready upstreams that are no longer members. An
/// upstream counts as ejected if its ejection ends after `min_ejected_until_s`; if that time is
/// infinite, no upstream counts as ejected.
fn set_members(
    ordered_slots: &[usize],
    upstreams: &mut Upstreams,
    sizes: &SubsetSizes,
    min_ejected_until_s: f64,
) -> Vec<UpstreamId> {
    let (mut member_count, mut ejected_member_count) = (0, 0);
    for (position, slot) in ordered_slots.iter().enumerate() {
        let upstream = &mut upstreams[*slot];
        let is_usable = !upstream.health.is_ejected(min_ejected_until_s);
        let membership = &mut upstream.membership;
        // A member remains one, so that its connections are reused; new members are added in the
        // shared order.
        let is_joining = is_usable && membership.is_new && position < sizes.own_traffic_size;
        membership.is_member = sizes.includes_all || membership.is_member || is_joining;
        membership.is_new &= !is_usable;
        member_count += usize::from(membership.is_member);
        ejected_member_count += usize::from(membership.is_member && !is_usable);
    }
    // Up to half of the members remain in the subset while ejected: otherwise all balancers that
    // share them would move their load to other upstreams at the same time, and overload those.
    let target_size = sizes
        .own_traffic_size
        .max(ejected_member_count + sizes.own_traffic_size.div_ceil(2));
    for slot in ordered_slots {
        let upstream = &mut upstreams[*slot];
        let is_usable = !upstream.health.is_ejected(min_ejected_until_s);
        if member_count < target_size && !upstream.membership.is_member && is_usable {
            upstream.membership.is_member = true;
            member_count += 1;
        }
    }
    let mut removed_ids = Vec::new();
    for slot in ordered_slots.iter().rev() {
        let upstream = &mut upstreams[*slot];
        if member_count > target_size && upstream.membership.is_member && !sizes.includes_all {
            upstream.membership.is_member = false;
            member_count -= 1;
            removed_ids.push(upstream.endpoint.id());
        }
    }
    removed_ids
}
