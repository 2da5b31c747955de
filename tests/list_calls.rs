//! When the list is asked for, in simulated time: how long a change can stay unknown however calls fail, for fleets of
//! many sizes, and that calls do not come in step.

mod common;

use common::*;
use frostkeel_policy::*;
use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = ms_const(6000);
/// An answered call takes this from its connection on.
const CALL_TAKES: Duration = ms_const(1500);

const fn ms_const(t: u64) -> Duration {
    Duration::from_millis(t)
}

fn settings(balancers: u32, index: u32, poll_interval: u64) -> Settings {
    Settings {
        polls_endpoints: true,
        balancers,
        index,
        poll_interval: ms(poll_interval),
        ..one_class(Effect::Idempotent)
    }
}

fn balancer(balancers: u32, index: u32, poll_interval: u64) -> Bench {
    let set = settings(balancers, index, poll_interval);
    let mut bench = Bench::new(set.clone(), &[]);
    bench.balancer = Balancer::new(set, u64::from(index)).unwrap();
    bench.timers.clear();
    bench.list_calls.clear();
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Cached,
        endpoints: &fleet(4),
    });
    bench
}

/// Runs until it calls.
fn next_call(bench: &mut Bench) -> Duration {
    let calls = bench.list_calls.len();
    while bench.list_calls.len() == calls {
        bench.run(ms(5));
    }
    *bench.list_calls.last().unwrap()
}

fn fail(bench: &mut Bench) {
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Failed,
        endpoints: &[],
    });
}

/// Guards the bound after failed calls: a change made right after one began, with discovery in reach from then on, is
/// known within 6 s, whether calls are refused at once or given up, and however many have failed before.
#[test]
fn after_any_failed_call_a_change_is_known_in_time() {
    for balancers in [2, 5, 20, 30] {
        for poll_interval in [4_000, 8_000, 20_000, 60_000] {
            for call_lasts in [0, 1000, 3000, 3500] {
                for index in 0..balancers.min(4) {
                    let mut bench = balancer(balancers, index, poll_interval);
                    for failures in 0..12 {
                        let began = next_call(&mut bench);
                        bench.run(ms(call_lasts));
                        fail(&mut bench);
                        // The next one is answered.
                        let known = next_call(&mut bench) + CALL_TAKES - began;
                        assert!(
                            known <= TOLD_WITHIN,
                            "{balancers} balancers, asking every {poll_interval} ms, calls of {call_lasts} ms: \
                             known after {known:?} ({failures} failures before)"
                        );
                        bench.run(ms(call_lasts));
                        fail(&mut bench);
                    }
                }
            }
        }
    }
}

/// Guards the bound after a watch that fell silent: 3 s until that is seen, then the wait, then the call.
#[test]
fn after_a_silent_watch_a_change_is_known_in_time() {
    const SILENCE: Duration = ms_const(3000);
    for balancers in [2, 5, 20, 30] {
        for poll_interval in [4_000, 8_000, 20_000, 60_000] {
            for index in 0..balancers.min(4) {
                let mut bench = balancer(balancers, index, poll_interval);
                for _ in 0..6 {
                    next_call(&mut bench);
                    bench.tell(Event::EndpointsUpdated {
                        scope: UpdateScope::Snapshot,
                        endpoints: &fleet(4),
                    });
                    bench.run(ms(7000));
                    fail(&mut bench);
                    let failed = bench.now;
                    let known = SILENCE + (next_call(&mut bench) - failed) + CALL_TAKES;
                    assert!(
                        known <= TOLD_WITHIN,
                        "{balancers}, {poll_interval}: known after {known:?}"
                    );
                }
            }
        }
    }
}

/// Guards the same of the largest fleets, where calls have to be spread as well: the wait alone is bounded there.
#[test]
fn the_largest_fleet_spreads_its_calls_and_still_asks_soon() {
    for index in 0..300 {
        let mut bench = balancer(300, index, 20_000);
        for _ in 0..5 {
            next_call(&mut bench);
            fail(&mut bench);
            let failed = bench.now;
            let wait = next_call(&mut bench) - failed;
            assert!(
                wait <= TOLD_WITHIN - CALL_TAKES,
                "balancer {index} waits {wait:?}"
            );
            fail(&mut bench);
        }
    }
}

/// Guards sites with an agent of their own: it is asked at once, and again soon, as nobody else's call waits there.
#[test]
fn an_agent_of_its_own_is_asked_at_once() {
    let set = Settings {
        has_local_agent: true,
        ..settings(300, 7, 20_000)
    };
    let mut bench = Bench::new(set, &fleet(4));
    assert!(next_call(&mut bench) <= ms(50));
    for _ in 0..8 {
        fail(&mut bench);
        let failed = bench.now;
        assert!(next_call(&mut bench) - failed <= ms(300));
    }
}
