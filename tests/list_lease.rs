//! The lease on the list of upstreams, in simulated time: a fleet whose watches all fall silent as upstreams begin to
//! drain, before a discovery that answers one call after another.

mod common;

use common::*;
use frostkeel_policy::*;
use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// What a silent watch misses counts as notified after this; then the grace begins.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_secs(1);
/// When an embedder gives up a watch on which nothing comes.
const SILENCE: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(25);
/// The longest that discovery takes over one call.
const CALL_MOST: Duration = Duration::from_millis(250);
/// The upstream that begins to drain.
const DRAINS: u64 = 1;

fn settings(balancers: u32, index: u32) -> Settings {
    Settings {
        polls_endpoints: true,
        balancers,
        index,
        poll_interval: 20 * SECOND,
        ..one_class(Effect::Idempotent)
    }
}

fn balancer(balancers: u32, index: u32) -> Bench {
    let set = settings(balancers, index);
    let mut bench = Bench::new(set.clone(), &[]);
    bench.balancer = Balancer::new(set, u64::from(index)).unwrap();
    bench.timers.clear();
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Cached,
        endpoints: &fleet(4),
    });
    bench.tell(Event::EndpointsUpdated {
        scope: UpdateScope::Snapshot,
        endpoints: &fleet(4),
    });
    bench.list_calls.clear();
    bench
}

fn without_the_drained() -> Vec<Endpoint> {
    fleet(4)
        .into_iter()
        .filter(|l| l.id != UpstreamId(DRAINS))
        .collect()
}

/// Discovery: it answers one call after another, and turns away what has waited for too long.
struct Service {
    each: Duration,
    wait_most: Duration,
    queue: VecDeque<(usize, Duration)>,
    busy_until: Duration,
}

impl Service {
    /// It needs `all` for a call of each balancer.
    fn new(balancers: u32, all: Duration) -> Self {
        let (queue, wait_most) = (VecDeque::new(), 3 * SECOND);
        Self {
            each: (all / balancers).min(CALL_MOST),
            wait_most,
            queue,
            busy_until: Duration::ZERO,
        }
    }

    /// Whether a further call would wait for too long: it is turned away at once.
    fn is_full(&self) -> bool {
        self.each * (self.queue.len() as u32 + 1) > self.wait_most
    }

    /// Whose calls end by now: answered, or turned away.
    fn ended(&mut self, now: Duration) -> Vec<(usize, bool)> {
        let mut ended = Vec::new();
        while let Some((who, called)) = self.queue.front().copied() {
            let begins = self.busy_until.max(called);
            let in_time = begins + self.each <= called + self.wait_most;
            let ends = if in_time {
                begins + self.each
            } else {
                called + self.wait_most
            };
            if ends > now {
                break;
            }
            self.busy_until = if in_time { ends } else { self.busy_until };
            self.queue.pop_front();
            ended.push((who, in_time));
        }
        ended
    }
}

/// What a play found.
#[derive(Debug, Default)]
struct Found {
    /// Sends to the drained upstream after the grace.
    late_sends: usize,
    /// When the last balancer knew of the drain.
    known_by: Duration,
    /// Balancers that held their sends at some time, and seconds of it for each balancer in the mean.
    held: usize,
    held_mean: f64,
    /// Calls that discovery got.
    calls: usize,
}

/// All watches fall silent at nil, and an upstream begins to drain in that moment.
fn play(balancers: u32, all: Duration) -> Found {
    let mut fleet: Vec<Bench> = (0..balancers)
        .map(|index| balancer(balancers, index))
        .collect();
    let mut service = Service::new(balancers, all);
    let (mut found, mut knows) = (Found::default(), vec![false; fleet.len()]);
    let (mut held, mut now, mut called) =
        (vec![0.0; fleet.len()], Duration::ZERO, vec![0; fleet.len()]);
    while now < 20 * SECOND {
        now += STEP;
        if now == SILENCE {
            for bench in &mut fleet {
                bench.tell(Event::Watch(WatchEvent::Silent {
                    since: Duration::ZERO,
                }));
                bench.tell(Event::EndpointsUpdated {
                    scope: UpdateScope::Failed,
                    endpoints: &[],
                });
            }
        }
        for (who, answered) in service.ended(now) {
            let endpoints = without_the_drained();
            let scope = if answered {
                UpdateScope::Snapshot
            } else {
                UpdateScope::Failed
            };
            fleet[who].tell(Event::EndpointsUpdated {
                scope,
                endpoints: if answered { &endpoints } else { &[] },
            });
            knows[who] |= answered;
            found.known_by = if answered { now } else { found.known_by };
        }
        for (who, bench) in fleet.iter_mut().enumerate() {
            bench.run(STEP);
            if bench.list_calls.len() > called[who] {
                called[who] = bench.list_calls.len();
                found.calls += 1;
                if service.is_full() {
                    bench.tell(Event::EndpointsUpdated {
                        scope: UpdateScope::Failed,
                        endpoints: &[],
                    });
                } else {
                    service.queue.push_back((who, now));
                }
            }
            // One request every quarter of a second each.
            if (now / 25).subsec_millis() % 10 != who as u32 % 10 {
                continue;
            }
            let id = bench.request(0, 0, ms(1000));
            match bench.at(id, 0) {
                Some(upstream) => {
                    let late = upstream == UpstreamId(DRAINS) && now >= NOTIFIED_WITHIN + GRACE;
                    found.late_sends += usize::from(late);
                    bench.ended(id, 0, Outcome::Ok);
                }
                None if bench.losses.get(&id) == Some(&FailureReason::StaleEndpoints) => {
                    held[who] += 0.25
                }
                None => {}
            }
        }
    }
    assert!(
        knows.iter().all(|knows| *knows),
        "all know in the end: {found:?}"
    );
    found.held = held.iter().filter(|held| **held > 0.0).count();
    found.held_mean = held.iter().sum::<f64>() / held.len() as f64;
    found
}

/// Guards fleets of every size before a discovery that needs up to 8 s for a call of each balancer: whoever has no
/// list in time sends nothing, and few have to wait for long.
#[test]
fn no_balancer_of_a_fleet_sends_by_a_list_that_a_silent_watch_left_behind() {
    for balancers in [2, 5, 20, 40, 60, 300, 900] {
        for all in [SECOND, 5 * SECOND, 8 * SECOND] {
            let found = play(balancers, all);
            assert_eq!(
                found.late_sends, 0,
                "{balancers} balancers, {all:?} for all: {found:?}"
            );
            assert!(
                found.held_mean <= 2.0,
                "{balancers} balancers, {all:?} for all: {found:?}"
            );
        }
    }
}

/// Guards the ways a lease ends and is renewed, one by one.
#[test]
fn a_lease_ends_by_silence_or_by_part_of_an_answer_and_a_list_renews_it() {
    let answered = |bench: &mut Bench| {
        let id = bench.request(0, 0, ms(1000));
        let attempted = bench.at(id, 0).is_some();
        if attempted {
            bench.ended(id, 0, Outcome::Ok);
        }
        attempted
    };
    for (event, ends) in [
        (
            WatchEvent::Silent {
                since: Duration::ZERO,
            },
            NOTIFIED_WITHIN + GRACE,
        ),
        (
            WatchEvent::Rejected {
                requested_at: Duration::ZERO,
            },
            NOTIFIED_WITHIN + GRACE,
        ),
        (WatchEvent::Moved, 4 * SECOND + GRACE),
        (WatchEvent::Ended, 2 * SECOND + GRACE),
        (
            WatchEvent::Partial {
                since: Duration::ZERO,
            },
            GRACE,
        ),
    ] {
        let mut bench = balancer(3, 0);
        bench.tell(Event::Watch(event));
        bench.run(ends - ms(300));
        assert!(answered(&mut bench), "{event:?}: still sent by");
        // A pause of 0.15 s before the write is left for.
        bench.run(ms(150));
        assert!(!answered(&mut bench), "{event:?}: no more");
        let held = bench.balancer.send_pause().expect("sends are held");
        assert!(held.from <= ends - ms(150) && held.until > ends, "{held:?}");
        // Calls that fail renew nothing, and neither does a later silence.
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Failed,
            endpoints: &[],
        });
        bench.tell(Event::Watch(WatchEvent::Silent { since: bench.now }));
        assert!(!answered(&mut bench));
        bench.tell(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[],
        });
        assert!(answered(&mut bench), "{event:?}: a heartbeat renews it");
        assert_eq!(bench.balancer.send_pause(), None);
    }
    // Calls that wait in vain, or meet nobody, tell of a discovery that is down and knows of nothing.
    for down in [
        WatchEvent::Rejected {
            requested_at: 2 * SECOND,
        },
        WatchEvent::Unreachable {
            requested_at: 2 * SECOND,
        },
    ] {
        let mut bench = balancer(3, 0);
        bench.tell(Event::Watch(WatchEvent::Ended));
        bench.run(5 * SECOND);
        assert!(!answered(&mut bench));
        bench.tell(Event::Watch(down));
        bench.run(60 * SECOND);
        assert!(answered(&mut bench), "{down:?}");
    }
    // Who is cut off for very long serves with what it has.
    let mut bench = balancer(3, 0);
    bench.tell(Event::Watch(WatchEvent::Silent { since: bench.now }));
    bench.run(40 * SECOND);
    assert!(answered(&mut bench));
}

/// Guards requests that are out as a lease ends: no further attempt is made.
#[test]
fn an_attempt_that_fails_after_the_lease_is_not_followed_by_another() {
    let mut bench = balancer(3, 0);
    bench.tell(Event::Watch(WatchEvent::Partial {
        since: Duration::ZERO,
    }));
    bench.run(ms(700));
    let id = bench.request(0, 0, ms(1000));
    assert!(bench.at(id, 0).is_some());
    bench.run(ms(150));
    bench.ended(id, 0, Outcome::Reset);
    assert!(bench.at(id, 1).is_none(), "no further attempt");
    assert!(
        bench.answers.contains_key(&id),
        "its final answer all the same"
    );
}
