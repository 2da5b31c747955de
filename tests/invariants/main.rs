//! The invariants of a balancer under random sequences of legal events. No effect happens twice, no
//! request is sent to an upstream that is not ready, every request gets one final response in time,
//! and equal events give equal actions.

#[path = "../common/mod.rs"]
mod common;
mod operations;
mod requests;
mod world;

use common::{SiteOptions, ms, settings_with_all_effects};
use frostkeel_policy::{Outcome, UpdateScope};
use operations::{EndpointChange, Operation, operation};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use requests::RequestPhase;
use world::World;

/// Tolerance for late final responses, in milliseconds; the simulated clock advances in steps of
/// 1 ms.
const TOLERANCE_MS: u64 = 20;

/// Returns an update with eight endpoints that are ready from the start.
fn initial_endpoints() -> Operation {
    let entries = (1..9).map(EndpointChange::ready).collect();
    Operation::UpdateEndpoints {
        scope: UpdateScope::Cached,
        entries,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_for_any_legal_event_sequence(
        operations in prop::collection::vec(operation(), 1..160),
        flags in any::<(bool, bool, bool)>(),
        max_attempts in 1u8..5,
        seed in any::<u64>(),
    ) {
        let (hedging, many_balancers, cancellation) = flags;
        let options = SiteOptions { many_balancers, hedging, cancellation, max_attempts };
        let mut world = World::new(settings_with_all_effects(&options), seed);
        world.apply(&initial_endpoints(), 0);
        for (number, operation) in operations.iter().enumerate() {
            world.apply(operation, number as u32);
        }
        // The clock advances until all deadlines have passed. Then the remaining streams are ended.
        world.advance(1600);
        for (id, attempt) in world.attempts_in_flight() {
            world.end_attempt(id, attempt, Outcome::Ok, 0.0);
        }
        world.advance(200);
        for (id, request) in &world.requests {
            prop_assert!(!request.phase.is_open(), "{id:?} got no final response: {request:?}");
            let is_streamed = world.settings.classes[request.class].streamed;
            let latest = request.deadline + ms(TOLERANCE_MS);
            let is_late = matches!(request.phase, RequestPhase::Answered { at } if at > latest);
            prop_assert!(
                is_streamed || !is_late,
                "{id:?} got its final response after its deadline: {request:?}"
            );
        }
    }
}
