//! Random operations of the simulated environment of a balancer.

use frostkeel_policy::{Availability, Outcome, UpdateScope};
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof};

/// One entry of an endpoint update.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    pub id: u64,
    pub availability: Availability,
    /// Whether the process of the upstream has just started.
    pub is_restarted: bool,
}

impl EndpointChange {
    pub fn ready(id: u64) -> Self {
        Self {
            id,
            availability: Availability::Ready,
            is_restarted: false,
        }
    }
}

/// Something that happens in the environment of a balancer. A `pick` is a random number that
/// selects one of the existing attempts, health checks or requests.
#[derive(Clone, Debug)]
pub enum Operation {
    Request {
        class: u16,
        tenant: u32,
        time_left_ms: u64,
        work_ms: Option<f64>,
    },
    EndAttempt {
        pick: usize,
        outcome: Outcome,
        reported_in_flight: f32,
    },
    EndHealthCheck {
        pick: usize,
        is_ok: bool,
        reported_in_flight: f32,
    },
    StartStream {
        pick: usize,
    },
    Disconnect {
        pick: usize,
    },
    UpdateEndpoints {
        scope: UpdateScope,
        entries: Vec<EndpointChange>,
    },
    Wait {
        milliseconds: u64,
    },
}

fn request() -> impl Strategy<Value = Operation> {
    let work_ms = prop::option::of(prop_oneof![1.0..500.0f64, Just(f64::NAN)]);
    (0u16..6, 0u32..5, 0u64..1500, work_ms).prop_map(|(class, tenant, time_left_ms, work_ms)| {
        Operation::Request {
            class,
            tenant,
            time_left_ms,
            work_ms,
        }
    })
}

fn end_attempt() -> impl Strategy<Value = Operation> {
    let outcome = (0u8..7).prop_map(|number| match number {
        0 | 1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        _ => Outcome::Cancelled,
    });
    let reported = prop_oneof![0.0..9.0f32, Just(f32::NAN)];
    (any::<usize>(), outcome, reported).prop_map(|(pick, outcome, reported_in_flight)| {
        Operation::EndAttempt {
            pick,
            outcome,
            reported_in_flight,
        }
    })
}

fn end_health_check() -> impl Strategy<Value = Operation> {
    (any::<usize>(), any::<bool>(), 0.0..4.0f32).prop_map(|(pick, is_ok, reported_in_flight)| {
        Operation::EndHealthCheck {
            pick,
            is_ok,
            reported_in_flight,
        }
    })
}

fn endpoint_change() -> impl Strategy<Value = EndpointChange> {
    (1u64..12, 0u8..4, any::<bool>()).prop_map(|(id, state, is_restarted)| EndpointChange {
        id,
        availability: match state {
            0 => Availability::Draining,
            1 => Availability::Removed,
            _ => Availability::Ready,
        },
        is_restarted,
    })
}

fn update_endpoints() -> impl Strategy<Value = Operation> {
    let scope = (0u8..4).prop_map(|number| match number {
        0 => UpdateScope::Failed,
        1 => UpdateScope::Snapshot,
        2 => UpdateScope::Cached,
        _ => UpdateScope::Delta,
    });
    let entries = prop::collection::vec(endpoint_change(), 0..8);
    (scope, entries).prop_map(|(scope, entries)| Operation::UpdateEndpoints { scope, entries })
}

/// Returns a strategy that generates operations with the relative frequencies given here.
pub fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => request(),
        6 => end_attempt(),
        3 => end_health_check(),
        1 => any::<usize>().prop_map(|pick| Operation::StartStream { pick }),
        1 => any::<usize>().prop_map(|pick| Operation::Disconnect { pick }),
        2 => update_endpoints(),
        6 => prop_oneof![0u64..30, 0u64..400]
            .prop_map(|milliseconds| Operation::Wait { milliseconds }),
    ]
}
