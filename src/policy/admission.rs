//! Admission: one token bucket per tenant, refilled at a guaranteed rate and with a part of the
//! spare capacity, in proportion to the tenant's demand.

use super::smoothing::{newest_weight, per_second};
use crate::interface::{RequestId, Settings};
use crate::random::Random;
use std::time::Duration;

/// Seconds of the tenant's demand that a bucket holds, unless one second of the guarantee is more.
const BUCKET_DEMAND_S: f64 = 0.2;
/// Tokens that a bucket holds in addition to those for the demand or the guarantee, so that two
/// simultaneous requests of a small tenant are not rejected.
const MIN_BUCKET_TOKENS: f64 = 3.0;
/// Shortest window, in seconds, over which demand is averaged: a single tick sees too few requests.
const MIN_DEMAND_WINDOW_S: f64 = 1.0;
/// Smallest mean number of requests, of all tenants together, in the window over which demand is
/// averaged. If demand is low, the window is extended until it contains this mean number.
const MIN_DEMAND_WINDOW_REQUESTS: f64 = 10.0;
/// Factor by which the median of the tenants' ratios of demand to base guarantee is multiplied. If
/// the product is above one, it is the factor by which all guarantees grow outside a shortage, up
/// to [`MAX_GUARANTEE_GROWTH`].
const GUARANTEE_MARGIN: f64 = 1.3;
/// Largest guarantee as a multiple of the base guarantee.
const MAX_GUARANTEE_GROWTH: f64 = 4.0;
/// Fraction of a guarantee that is cut per unit of [`Refill::shortage_fraction`], for a tenant
/// whose demand is above its guarantee.
const OVER_GUARANTEE_CUT: f64 = 20.0;
/// Fraction of a guarantee that is cut per unit of [`Refill::shortage_fraction`], for a tenant
/// whose demand is within its guarantee. Only the part of the shortage above
/// [`WITHIN_GUARANTEE_CUT_MIN_SHORTAGE`] counts.
const WITHIN_GUARANTEE_CUT: f64 = 2.0;
/// Number of attempts in flight beyond the capacity, as a fraction of all attempts of this balancer
/// in flight, up to which the guarantee of a tenant is not cut if the tenant's demand is within the
/// guarantee.
const WITHIN_GUARANTEE_CUT_MIN_SHORTAGE: f64 = 0.25;
/// Guarantee of a tenant without a stated quota, in requests a second.
const DEFAULT_GUARANTEE_PER_S: f64 = 1.0;
/// Smallest factor by which jitter multiplies the wait in a Retry-After.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;
/// Width of the range of jitter factors above [`MIN_RETRY_AFTER_FRACTION`].
const RETRY_AFTER_JITTER_RANGE: f64 = 0.5;

/// The token bucket of a tenant.
struct TokenBucket {
    /// Number of tokens in the bucket (mu_i in the paper).
    tokens: f64,
    /// Number of requests received since the last tick (V_i in the paper).
    arrival_count: f64,
    /// Demand of the tenant: requests received per second, smoothed.
    demand_per_s: f64,
    /// This balancer's equal part of the tenant's quota, in requests a second; a default if no
    /// quota is stated.
    base_guarantee_per_s: f64,
    /// Guaranteed rate in requests a second, after its growth with demand (u_g_i in the paper).
    guarantee_per_s: f64,
}

impl TokenBucket {
    /// Returns a full bucket.
    fn new(guarantee_per_s: f64) -> Self {
        Self {
            tokens: MIN_BUCKET_TOKENS + guarantee_per_s,
            arrival_count: 0.0,
            demand_per_s: 0.0,
            base_guarantee_per_s: guarantee_per_s,
            guarantee_per_s,
        }
    }

    /// Returns the largest number of tokens that the bucket can hold (T_i in the paper).
    fn max_tokens(&self) -> f64 {
        MIN_BUCKET_TOKENS + (BUCKET_DEMAND_S * self.demand_per_s).max(self.guarantee_per_s)
    }

    /// Adds the tokens that the tenant gains in a tick (u_i in the paper): the guarantee, reduced
    /// in a shortage, and the tenant's fraction of the spare capacity. The bucket never holds
    /// more than [`Self::max_tokens`].
    fn refill(&mut self, refill: &Refill) {
        let max_tokens = self.max_tokens();
        let cut_fraction = if self.demand_per_s > self.guarantee_per_s {
            OVER_GUARANTEE_CUT * refill.shortage_fraction
        } else {
            WITHIN_GUARANTEE_CUT * (refill.shortage_fraction - WITHIN_GUARANTEE_CUT_MIN_SHORTAGE)
        };
        let demand_fraction = if refill.total_demand_per_s > 0.0 {
            self.demand_per_s / refill.total_demand_per_s
        } else {
            0.0
        };
        // Only complete tokens are subtracted from the spare capacity: if fractions of a token were
        // subtracted too, the bucket would never reach one token while the spare capacity is below
        // one request.
        let ungranted_spare_capacity = (refill.spare_capacity - self.tokens.floor()).max(0.0);
        let guaranteed_tokens =
            (1.0 - cut_fraction).clamp(0.0, 1.0) * self.guarantee_per_s * refill.elapsed_s;
        let granted_tokens = guaranteed_tokens + demand_fraction * ungranted_spare_capacity;
        self.tokens += granted_tokens.min((max_tokens - self.tokens).max(0.0));
    }

    /// Updates the smoothed demand with the requests received since the last tick.
    fn update_demand(&mut self, demand_window_s: f64, elapsed_s: f64) {
        let arrivals_per_s = per_second(self.arrival_count, elapsed_s);
        self.demand_per_s +=
            newest_weight(elapsed_s, demand_window_s) * (arrivals_per_s - self.demand_per_s);
        self.arrival_count = 0.0;
    }
}

/// Inputs of a refill that are the same for all buckets.
struct Refill {
    /// Spare capacity in requests (W in the paper).
    spare_capacity: f64,
    /// Number of this balancer's attempts in flight beyond the capacity, as a fraction of all its
    /// attempts in flight; zero if there is no shortage.
    shortage_fraction: f64,
    total_demand_per_s: f64,
    /// Seconds since the last tick (tau in the paper).
    elapsed_s: f64,
}

/// The token buckets of all tenants.
pub(super) struct Admission {
    buckets: Vec<TokenBucket>,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Self {
        let bucket = |tenant: usize| {
            let quota_per_s = settings.tenants.get(tenant).map_or(0.0, |t| t.quota_per_s);
            TokenBucket::new(if quota_per_s > 0.0 {
                quota_per_s / f64::from(settings.balancers)
            } else {
                DEFAULT_GUARANTEE_PER_S
            })
        };
        Self {
            buckets: (0..settings.tenants.len().max(1)).map(bucket).collect(),
        }
    }

    /// Returns the bucket of a tenant; a tenant that is not in the settings uses the last bucket.
    fn bucket(&mut self, tenant: usize) -> &mut TokenBucket {
        let last = self.buckets.len() - 1;
        &mut self.buckets[tenant.min(last)]
    }

    pub(super) fn record_arrival(&mut self, tenant: usize) {
        self.bucket(tenant).arrival_count += 1.0;
    }

    pub(super) fn has_token(&mut self, tenant: usize) -> bool {
        self.bucket(tenant).tokens >= 1.0
    }

    pub(super) fn consume_token(&mut self, tenant: usize) {
        self.bucket(tenant).tokens -= 1.0;
    }

    /// Returns the demand of all tenants, in requests a second.
    pub(super) fn demand_per_s(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.demand_per_s).sum()
    }

    /// Refills the buckets, once per tick. In a small shortage, only the guarantees of tenants
    /// whose demand exceeds their guarantee are cut. In a large shortage, such as after the loss of
    /// half the upstreams, the guarantees of the other tenants are cut as well: otherwise the
    /// queues would be full and all responses late.
    pub(super) fn refill(&mut self, spare_capacity: f64, shortage_fraction: f64, elapsed_s: f64) {
        let total_demand_per_s = self.demand_per_s();
        let growth_factor = self.guarantee_growth_factor(shortage_fraction);
        // The window is long enough for a few requests, so that a tenant that sends nothing for a
        // moment still has demand.
        let demand_window_s =
            MIN_DEMAND_WINDOW_S.max(MIN_DEMAND_WINDOW_REQUESTS / total_demand_per_s.max(0.1));
        let refill = Refill {
            spare_capacity,
            shortage_fraction,
            total_demand_per_s,
            elapsed_s,
        };
        for bucket in &mut self.buckets {
            bucket.guarantee_per_s = bucket.base_guarantee_per_s * growth_factor;
            bucket.refill(&refill);
            bucket.update_demand(demand_window_s, elapsed_s);
        }
    }

    /// Returns the factor by which guarantees grow. It is above one if the demand of the median
    /// tenant, multiplied by [`GUARANTEE_MARGIN`], is above its base guarantee: this balancer then
    /// gets more traffic than other balancers, and the cause is not a surge of one tenant. A
    /// shortage reduces the growth, as retries raise the demand of all tenants during a shortage.
    fn guarantee_growth_factor(&self, shortage_fraction: f64) -> f64 {
        let demand_ratio =
            |bucket: &TokenBucket| bucket.demand_per_s / bucket.base_guarantee_per_s.max(1e-9);
        let mut demand_ratios: Vec<f64> = self.buckets.iter().map(demand_ratio).collect();
        demand_ratios.sort_by(f64::total_cmp);
        let median_demand_ratio = demand_ratios.get(demand_ratios.len() / 2).unwrap_or(&1.0);
        let growth_factor =
            (median_demand_ratio * GUARANTEE_MARGIN).clamp(1.0, MAX_GUARANTEE_GROWTH);
        1.0 + (growth_factor - 1.0) * (1.0 - shortage_fraction).max(0.0)
    }
}

/// Returns how long a rejected client should wait before a retry. Before jitter, the wait is half
/// of `time_to_deadline`, the time until the deadline of the request. The wait is at least
/// `mean_attempt_latency_s`, even if the deadline is close, as the client may send another request;
/// and it is at most `max_wait`. The jitter derives from the id of the request, so that clients
/// rejected together do not retry together.
pub(super) fn retry_after(
    id: RequestId,
    time_to_deadline: Duration,
    mean_attempt_latency_s: f64,
    max_wait: Duration,
) -> Duration {
    let min_wait = Duration::from_secs_f64(mean_attempt_latency_s);
    let wait = max_wait.min(min_wait.max(time_to_deadline / 2));
    let jitter = Random::with_seed(u64::from(id.0)).f64();
    wait.mul_f64(MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_RANGE * jitter)
}
