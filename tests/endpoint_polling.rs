//! The polls for the endpoint list, in simulated time and for fleets of many sizes: how long a
//! change can stay unknown when polls fail, and how polls are spread over time.

mod common;

use common::{Harness, endpoints, ms, single_class_settings};
use frostkeel_policy::{Effect, Settings, UpdateScope};
use std::time::Duration;

/// Time after which a change counts as notified, counted from when discovery has it and can be
/// reached.
const NOTIFIED_WITHIN: Duration = ms(6000);
/// The time that a successful poll takes.
const POLL_DURATION: Duration = ms(1500);
/// Time without data after which a watch counts as failed.
const SILENCE_TIMEOUT: Duration = ms(3000);
const STEP: Duration = ms(5);

/// One balancer of a fleet.
#[derive(Clone, Copy, Debug)]
struct Member {
    balancers: u32,
    index: u32,
    poll_interval: Duration,
}

impl Member {
    fn settings(self) -> Settings {
        Settings {
            polls_endpoints: true,
            balancers: self.balancers,
            index: self.index,
            poll_interval: self.poll_interval,
            ..single_class_settings(Effect::Idempotent)
        }
    }

    fn harness(self) -> Harness {
        Harness::with_seed(self.settings(), u64::from(self.index), &endpoints(4))
    }
}

/// Returns up to four balancers of each of several fleets.
fn members_of_fleets() -> Vec<Member> {
    let mut members = Vec::new();
    for balancers in [2, 5, 20, 30] {
        for poll_interval in [4_000, 8_000, 20_000, 60_000].map(ms) {
            members.extend((0..balancers.min(4)).map(|index| Member {
                balancers,
                index,
                poll_interval,
            }));
        }
    }
    members
}

/// Reports a failed poll and returns how long the balancer waits before it polls again.
fn delay_after_failure(harness: &mut Harness) -> Duration {
    harness.fail_poll();
    let failed_at = harness.now;
    harness.advance_to_next_poll(STEP) - failed_at
}

/// A change is made right after a poll has begun, and discovery can be reached from then on. The
/// balancer must know the change in time whether that poll is rejected immediately or times out,
/// and for any number of earlier failures.
#[test]
fn learns_of_a_change_in_time_after_failed_polls() {
    for member in members_of_fleets() {
        for failed_poll_duration in [0, 1000, 3000, 3500].map(ms) {
            let mut harness = member.harness();
            for failures in 0..12 {
                let change_at = harness.advance_to_next_poll(STEP);
                harness.advance(failed_poll_duration);
                harness.fail_poll();
                // The next poll is answered.
                let known_at = harness.advance_to_next_poll(STEP) + POLL_DURATION;
                let delay = known_at - change_at;
                assert!(
                    delay <= NOTIFIED_WITHIN,
                    "{member:?}, polls that fail after {failed_poll_duration:?}: change known \
                     after {delay:?}, after {failures} rounds of failures"
                );
                harness.advance(failed_poll_duration);
                harness.fail_poll();
            }
        }
    }
}

/// The delay until a change is known consists of the time until the silence is detected, the
/// backoff and the duration of the poll.
#[test]
fn learns_of_a_change_in_time_after_a_silent_watch() {
    for member in members_of_fleets() {
        let mut harness = member.harness();
        for _ in 0..6 {
            harness.advance_to_next_poll(STEP);
            harness.update_endpoints(UpdateScope::Snapshot, &endpoints(4));
            harness.advance(ms(7000));
            let delay = SILENCE_TIMEOUT + delay_after_failure(&mut harness) + POLL_DURATION;
            assert!(
                delay <= NOTIFIED_WITHIN,
                "{member:?}: change known after {delay:?}"
            );
        }
    }
}

/// In the largest fleet polls also have to be spread over time. Only the backoff is bounded there,
/// not the total time until a change is known.
#[test]
fn poll_delay_is_bounded_for_300_balancers() {
    for index in 0..300 {
        let member = Member {
            balancers: 300,
            index,
            poll_interval: ms(20_000),
        };
        let mut harness = member.harness();
        for _ in 0..5 {
            harness.advance_to_next_poll(STEP);
            let delay = delay_after_failure(&mut harness);
            assert!(
                delay <= NOTIFIED_WITHIN - POLL_DURATION,
                "balancer {index} waits for {delay:?} after a failed poll"
            );
            harness.fail_poll();
        }
    }
}

/// A local agent gets no polls of other balancers, so that polls need not be spread over time.
#[test]
fn polls_a_local_agent_without_delay() {
    let member = Member {
        balancers: 300,
        index: 7,
        poll_interval: ms(20_000),
    };
    let settings = Settings {
        has_local_agent: true,
        ..member.settings()
    };
    let mut harness = Harness::new(settings, &endpoints(4));
    assert!(harness.advance_to_next_poll(STEP) <= ms(50));
    for _ in 0..8 {
        assert!(delay_after_failure(&mut harness) <= ms(300));
    }
}

/// The time of a balancer's first poll, and its backoff after that poll has failed.
struct PollTimes {
    first: Duration,
    retry_delay: Duration,
}

fn poll_times(balancers: u32, index: u32) -> PollTimes {
    const STEP: Duration = ms(10);
    let member = Member {
        balancers,
        index,
        poll_interval: Settings::default().poll_interval,
    };
    let mut harness = member.harness();
    if harness.polls.is_empty() {
        harness.advance_to_next_poll(STEP);
    }
    let first = harness.polls[0];
    // The poll has waited in the queue of discovery for 3 s and fails.
    harness.advance(ms(3000));
    harness.fail_poll();
    let failed_at = harness.now;
    PollTimes {
        first,
        retry_delay: harness.advance_to_next_poll(STEP) - failed_at,
    }
}

/// Returns the largest number of these times that lie within one second.
fn max_within_a_second(times: &[Duration]) -> usize {
    let within = |start: &Duration| {
        let window = *start..*start + ms(1000);
        times.iter().filter(|time| window.contains(time)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// All balancers restart together, and discovery answers their polls one after another. Neither the
/// first polls nor the polls after a failure may arrive all at the same time.
#[test]
fn polls_of_many_balancers_are_spread() {
    let times: Vec<PollTimes> = (0..100).map(|index| poll_times(100, index)).collect();
    let first: Vec<Duration> = times.iter().map(|times| times.first).collect();
    let retry_delays: Vec<Duration> = times.iter().map(|times| times.retry_delay).collect();
    for times in [first, retry_delays] {
        let max = max_within_a_second(&times);
        assert!(
            max < 45,
            "{max} of 100 polls within a second, expected fewer than 45"
        );
        assert!(
            times.iter().all(|time| *time <= ms(5100)),
            "a poll is much later than half of the poll interval: {times:?}"
        );
    }
    let single = poll_times(1, 0);
    assert!(
        single.first <= ms(200),
        "a single balancer must poll within 200 ms"
    );
}

/// While discovery is down, polls are retried with backoff and the known endpoints stay in use.
#[test]
fn failed_polls_back_off_and_keep_the_endpoint_list() {
    let settings = Settings {
        polls_endpoints: true,
        ..single_class_settings(Effect::Idempotent)
    };
    let mut harness = Harness::new(settings, &endpoints(2));
    for _ in 0..6000 {
        let polls = harness.polls.len();
        harness.advance(ms(10));
        if harness.polls.len() > polls {
            harness.fail_poll();
        }
    }
    let polls = harness.polls.len();
    assert!(
        (5..=30).contains(&polls),
        "{polls} polls in a minute, expected 5 to 30"
    );
    let id = harness.request();
    assert!(harness.is_sent(id));
}
