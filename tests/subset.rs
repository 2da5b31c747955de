//! Thin traffic keeps to a subset; together the balancers load every upstream alike.

mod common;
use common::*;
use frostkeel_policy::*;
use std::collections::{BTreeMap, BTreeSet};

const BALANCERS: u32 = 240;

fn settings(index: u32) -> Settings {
    Settings {
        balancers: BALANCERS,
        index,
        classes: vec![class(400, 1000, Effect::Idempotent)],
        tenants: vec![Tenant { quota_per_s: 480.0 }],
        ..Settings::default()
    }
}

fn used(bench: &mut Bench, requests: usize) -> BTreeSet<UpstreamId> {
    bench.sent.clear();
    bench.traffic(requests, ms(500), |_| Some(Outcome::Ok));
    bench.sent.values().flatten().map(|s| s.1).collect()
}

/// Guards against upstreams that run out of connections: 240 balancers, two requests a second each.
#[test]
fn a_thin_balancer_uses_few_and_all_together_use_all_alike() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let mut users: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    for index in 0..BALANCERS {
        let own = used(&mut Bench::new(settings(index), &fleet), 60);
        assert!(
            (2..=10).contains(&own.len()),
            "{} upstreams used by one",
            own.len()
        );
        own.into_iter()
            .for_each(|u| *users.entry(u).or_default() += 1);
    }
    let (least, most) = (users.values().min().unwrap(), users.values().max().unwrap());
    assert_eq!(users.len(), fleet.len(), "every upstream is used");
    assert!(
        *most * 2 <= *least * 3,
        "used by {least} to {most} balancers"
    );
}

#[test]
fn a_small_fleet_and_a_busy_balancer_use_all() {
    let mut few = Bench::new(settings(5), &(1..=2).map(endpoint).collect::<Vec<_>>());
    assert_eq!(used(&mut few, 100).len(), 2);
    let busy = Settings {
        balancers: 4,
        ..settings(3)
    };
    let mut busy = Bench::new(busy, &(1..=60).map(endpoint).collect::<Vec<_>>());
    assert_eq!(used(&mut busy, 300).len(), 60);
}

/// The subset outlives changes elsewhere; one lost is replaced, and those that left the list are forgotten.
#[test]
fn a_subset_is_stable_and_refilled() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let mut bench = Bench::new(settings(17), &fleet);
    let before = used(&mut bench, 60);
    let gone = |id: UpstreamId| Endpoint {
        availability: Availability::Removed,
        ..endpoint(id.0)
    };
    let (own, other): (Vec<_>, Vec<_>) = fleet
        .iter()
        .map(|l| l.id)
        .partition(|id| before.contains(id));
    for id in other.iter().take(20) {
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[gone(*id)],
        });
        bench.run(ms(50));
    }
    assert_eq!(
        used(&mut bench, 60),
        before,
        "what happens elsewhere moves nothing"
    );
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: &[gone(own[0]), gone(own[1])],
    });
    let after = used(&mut bench, 60);
    assert_eq!(after.len(), before.len());
    assert_eq!(after.intersection(&before).count(), before.len() - 2);
}

/// Traffic is uneven: a balancer that gets ten times its equal part would crowd an equal part of the upstreams
/// while others idle. It takes more of them, keeps those it has, and lets go once the traffic has gone elsewhere.
#[test]
fn a_subset_grows_and_shrinks_with_what_a_balancer_really_gets() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let mut bench = Bench::new(settings(17), &fleet);
    let thin = used(&mut bench, 60);
    bench.traffic(200, ms(50), |_| Some(Outcome::Ok));
    bench.sent.clear();
    bench.traffic(200, ms(50), |_| Some(Outcome::Ok));
    let busy: BTreeSet<_> = bench.sent.values().flatten().map(|s| s.1).collect();
    assert!(
        (10..=24).contains(&busy.len()),
        "{} upstreams for 20 requests a second",
        busy.len()
    );
    assert!(thin.is_subset(&busy), "its connections stay in use");
    bench.traffic(30, ms(500), |_| Some(Outcome::Ok));
    let after = used(&mut bench, 60);
    assert!(
        after.len() <= 2 * thin.len(),
        "{} upstreams for 2 requests a second",
        after.len()
    );
}

/// What a heavy balancer is asked for counts, not what it manages to serve on too few; repeats do not: a jam
/// multiplies them, and would spread itself. Where they are not marked, only what is admitted counts.
#[test]
fn first_tries_size_the_subset_and_repeats_do_not() {
    let fleet: Vec<_> = (1..=48).map(|id| endpoint(id * 7919)).collect();
    let sent_to = |is_retry: bool, retries_marked: bool| {
        let mut bench = Bench::new(
            Settings {
                retries_marked,
                ..settings(17)
            },
            &fleet,
        );
        for k in 0..160 {
            let (id, class, tenant) = (RequestId(1000 + k), ClassId(0), TenantId(0));
            let time_left = ms(1000);
            bench.tell(Event::Request {
                id,
                class,
                tenant,
                time_left,
                work_ms: None,
                is_retry,
            });
            bench.run(ms(50));
        }
        bench.balancer.status().rotation_size
    };
    let first = sent_to(false, true);
    assert!(
        (10..=24).contains(&first),
        "{first} for 20 first tries a second"
    );
    assert_eq!(sent_to(true, true), 2, "for 20 repeats a second");
    assert_eq!(
        sent_to(false, false),
        2,
        "for 20 a second that may be repeats, hardly any of them admitted"
    );
}

/// Without stated allowances one balancer alone still takes all, whatever it sees.
#[test]
fn a_balancer_alone_uses_all() {
    let alone = Settings {
        balancers: 1,
        index: 0,
        tenants: Vec::new(),
        ..settings(0)
    };
    let mut alone = Bench::new(alone, &(1..=40).map(endpoint).collect::<Vec<_>>());
    assert_eq!(used(&mut alone, 200).len(), 40);
}
