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
const MIN_SIZE: f64 = 2.0;
/// Largest size of a subset that the traffic can give, in upstreams.
const MAX_SIZE: f64 = 1e6;
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
/// the present size divided by this, so that random variation does not change the subset.
const SHRINK_DENOMINATOR: usize = 3;

/// The membership of one upstream in the subset.
#[derive(Clone, Copy)]
pub(super) struct SubsetMembership {
    is_member: bool,
    /// Whether the upstream was added after the first list, has restarted, or has been ejected. A
    /// choice of the subset clears this if the upstream is ready and not ejected.
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
struct SubsetSize {
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
    balancers: u32,
    /// This balancer's number among all balancers, from 0.
    index: u32,
    /// Smallest value of `size`, in upstreams: the number for the traffic that this balancer would
    /// get if the expected traffic were divided equally among all balancers.
    min_size: usize,
    /// Number of upstreams for the traffic that this balancer gets.
    size: usize,
    /// First attempts of clients since the last tick; the admitted requests if clients do not mark
    /// their retries.
    first_attempts: f64,
    /// First attempts per second, smoothed.
    first_attempts_per_s: f64,
    /// Number of balancers that send to each upstream if the subsets are spread equally.
    balancers_per_upstream: f64,
    /// Time from which on a new choice of the subset is due; infinite if none is planned. The first
    /// tick from this time on makes the choice.
    review_at_s: f64,
}

impl Subset {
    pub(super) fn new(settings: &Settings, expected_requests_per_s: f64) -> Self {
        let size = (UPSTREAMS_PER_REQUEST_PER_S * expected_requests_per_s).clamp(MIN_SIZE, MAX_SIZE)
            as usize;
        Self {
            balancers: settings.balancers,
            index: settings.index,
            min_size: size,
            size,
            first_attempts: 0.0,
            first_attempts_per_s: expected_requests_per_s,
            balancers_per_upstream: 0.0,
            review_at_s: 0.0,
        }
    }

    pub(super) fn balancers_per_upstream(&self) -> f64 {
        self.balancers_per_upstream
    }

    /// Records a client's first attempt. If clients do not mark their retries, the caller records
    /// the admitted requests instead: if it recorded all requests, retries would count as traffic.
    pub(super) fn record_first_attempt(&mut self) {
        self.first_attempts += 1.0;
    }

    /// Schedules a new choice of the subset at the next tick.
    pub(super) fn request_review(&mut self, now_s: f64) {
        self.review_at_s = now_s;
    }

    pub(super) fn is_review_due(&self, now_s: f64) -> bool {
        now_s >= self.review_at_s
    }

    /// Adapts the size to the traffic, once per tick. Traffic is uneven: a balancer with several
    /// times the mean traffic would overload a subset as large as those of the other balancers
    /// while other upstreams are idle. `has_upstreams_outside` is true if there are upstreams
    /// outside the subset.
    pub(super) fn update_size(&mut self, has_upstreams_outside: bool, elapsed_s: f64, now_s: f64) {
        let per_s = per_second(self.first_attempts, elapsed_s);
        let weight_of_newest = newest_weight(elapsed_s, RATE_TIME_CONSTANT_S);
        self.first_attempts_per_s += weight_of_newest * (per_s - self.first_attempts_per_s);
        self.first_attempts = 0.0;
        let size = UPSTREAMS_PER_REQUEST_PER_S * self.first_attempts_per_s;
        let size = size.clamp(self.min_size as f64, MAX_SIZE) as usize;
        let grows =
            size * GROWTH_DENOMINATOR >= self.size * GROWTH_NUMERATOR && has_upstreams_outside;
        if grows || size * SHRINK_DENOMINATOR <= self.size {
            self.size = size;
            self.review_at_s = now_s;
        }
    }

    /// Chooses the members. Ejected upstreams are replaced by the next ones in the order.
    pub(super) fn choose(&mut self, upstreams: &mut Upstreams, now_s: f64) -> SubsetChoice {
        let ready = |slot: &usize| upstreams[*slot].endpoint.is_ready();
        let mut order: Vec<usize> = (0..upstreams.len()).filter(ready).collect();
        let size = self.choose_size(order.len());
        if !size.includes_all {
            self.sort(&mut order, upstreams, &size);
        }
        // If more upstreams seem unhealthy than may be ejected, the cause is common to them, and no
        // upstream is replaced.
        let is_ejected = |slot: &&usize| upstreams[**slot].health.is_ejected(now_s);
        let ejected_count = order.iter().filter(is_ejected).count();
        let may_eject = may_be_ejected(ejected_count, order.len());
        let ejection_check_at_s = if may_eject { now_s } else { f64::INFINITY };
        for upstream in upstreams.iter_mut() {
            upstream.membership.is_member &= upstream.endpoint.is_ready();
        }
        // The subset is chosen again when an ejection ends.
        let ejection_ends = upstreams
            .iter()
            .map(|upstream| upstream.health.ejected_until_s());
        self.review_at_s = ejection_ends
            .filter(|end_s| *end_s > now_s)
            .fold(f64::INFINITY, f64::min);
        let removed_ids = set_members(&order, upstreams, &size, ejection_check_at_s);
        let equal_traffic_fraction =
            size.equal_traffic_size.min(order.len()) as f64 / order.len().max(1) as f64;
        self.balancers_per_upstream = (f64::from(self.balancers) * equal_traffic_fraction).max(1.0);
        order.retain(|slot| upstreams[*slot].membership.is_member);
        SubsetChoice {
            member_slots: order,
            removed_ids,
            is_partial: !size.includes_all,
        }
    }

    fn choose_size(&self, ready_count: usize) -> SubsetSize {
        let balancers = (self.balancers as usize).max(1);
        let equal_traffic_size = self
            .min_size
            .max(MIN_SUBSETS_PER_UPSTREAM * ready_count / balancers);
        let own_traffic_size = equal_traffic_size.max(self.size);
        let includes_all =
            own_traffic_size * INCLUDES_ALL_DENOMINATOR >= ready_count * INCLUDES_ALL_NUMERATOR;
        SubsetSize {
            equal_traffic_size,
            own_traffic_size,
            includes_all,
        }
    }

    /// Puts the upstreams into the order that balancers share, starting with the part of this
    /// balancer. When all parts are taken, the next balancers share another order.
    fn sort(&self, order: &mut [usize], upstreams: &Upstreams, size: &SubsetSize) {
        let part_count = (order.len() / size.equal_traffic_size.max(1)).max(1);
        let index = self.index as usize;
        let (round, start) = (
            index / part_count,
            index % part_count * size.equal_traffic_size,
        );
        let key = |slot: &usize| {
            let id = upstreams[*slot].endpoint.id();
            Random::with_seed(id.0 ^ (round as u64) << 48).u64(..)
        };
        order.sort_by_cached_key(key);
        order.rotate_left(start % order.len().max(1));
    }
}

/// Sets which upstreams are members. Returns the ready upstreams that are no longer members. Only
/// upstreams that are ejected at `ejection_check_at_s` count as ejected; if that time is infinite,
/// no upstream does.
fn set_members(
    order: &[usize],
    upstreams: &mut Upstreams,
    size: &SubsetSize,
    ejection_check_at_s: f64,
) -> Vec<UpstreamId> {
    let (mut member_count, mut unusable_count) = (0, 0);
    for (rank, slot) in order.iter().enumerate() {
        let upstream = &mut upstreams[*slot];
        let is_usable = !upstream.health.is_ejected(ejection_check_at_s);
        let membership = &mut upstream.membership;
        // A member remains one, so that its connections are reused; new members are added in the
        // shared order.
        let joins = is_usable && membership.is_new && rank < size.own_traffic_size;
        membership.is_member = size.includes_all || membership.is_member || joins;
        membership.is_new &= !is_usable;
        member_count += usize::from(membership.is_member);
        unusable_count += usize::from(membership.is_member && !is_usable);
    }
    // Up to half of the members remain in the subset while ejected: otherwise all balancers that
    // share them would move their load to other upstreams at the same time, and overload those.
    let target_size = size
        .own_traffic_size
        .max(unusable_count + size.own_traffic_size.div_ceil(2));
    for slot in order {
        let upstream = &mut upstreams[*slot];
        let is_usable = !upstream.health.is_ejected(ejection_check_at_s);
        if member_count < target_size && !upstream.membership.is_member && is_usable {
            upstream.membership.is_member = true;
            member_count += 1;
        }
    }
    let mut removed_ids = Vec::new();
    for slot in order.iter().rev() {
        let upstream = &mut upstreams[*slot];
        if member_count > target_size && upstream.membership.is_member && !size.includes_all {
            upstream.membership.is_member = false;
            member_count -= 1;
            removed_ids.push(upstream.endpoint.id());
        }
    }
    removed_ids
}
