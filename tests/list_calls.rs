//! When the list is asked for, in simulated time: how long a change can stay unknown however calls fail, for fleets of
//! many sizes, and that calls do not come in step.

mod common;

use common::*;
use lapisroute::*;
use std::time::Duration;

fn settings(balancers: u32, index: u32, ask_every: u64) -> Settings {
    Settings {
        ask_for_fleet: true,
        balancers,
        index,
        ask_every: ms(ask_every),
        ..one_class(Effect::Idempotent)
    }
}

fn balancer(balancers: u32, index: u32, ask_every: u64) -> Bench {
    let set = settings(balancers, index, ask_every);
    let mut bench = Bench::new(set.clone(), &[]);
    bench.balancer = Balancer::new(set, u64::from(index)).unwrap();
    bench.timers.clear();
    bench.list_calls.clear();
    bench.tell(Event::Fleet { scope: FleetScope::Cached, listed: &fleet(4) });
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
    bench.tell(Event::Fleet { scope: FleetScope::Failed, listed: &[] });
}

/// Guards sites with an agent of their own: it is asked at once, and again soon, as nobody else's call waits there.
#[test]
fn an_agent_of_its_own_is_asked_at_once() {
    let set = Settings { own_agent: true, ..settings(300, 7, 20_000) };
    let mut bench = Bench::new(set, &fleet(4));
    assert!(next_call(&mut bench) <= ms(50));
    for _ in 0..8 {
        fail(&mut bench);
        let failed = bench.now;
        assert!(next_call(&mut bench) - failed <= ms(300));
    }
}
