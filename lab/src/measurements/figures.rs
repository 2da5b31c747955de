//! The figures of a play, counted over its whole history.

use crate::experiment::Experiment;
use crate::history::{Event, Lost, TryId, What};
use crate::standins::clients::TRIES_BITS;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// What became of the requests of one class, or of one second, or of all; a request is what a client wanted, with
/// all its tries.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests.
    pub asked: u32,
    /// Answered by an upstream within the aim, counted from the first try.
    pub in_time: u32,
    /// Answered by one later.
    pub late: u32,
    /// Ended refused.
    pub refused: u32,
    /// Ended failed, or without an answer.
    pub failed: u32,
}

/// The same with a name.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassCounts {
    /// The class.
    pub class: String,
    /// Its counts.
    #[serde(flatten)]
    pub counts: Counts,
}

/// One second of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// By the second of the first try.
    #[serde(flatten)]
    pub counts: Counts,
    /// Percentiles of the time to the answer of what was served, by the second of the answer, in ms.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// Mean share of the upstreams' cores in use.
    pub util: f64,
}

/// The figures of a play.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Worth answered in time, as a share of the worth asked for.
    pub served: f64,
    /// The same of the worst-served class.
    pub worst_class: f64,
    /// Tries for each request, and attempts that reached an upstream for each request.
    pub tries: f64,
    /// See `tries`.
    pub attempts: f64,
    /// Percentiles of the time from the first try to the answer of what was served, in ms.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p90_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// The most calls to the list service that one balancer made within a second.
    pub calls_most: usize,
    /// By class.
    pub classes: Vec<ClassCounts>,
    /// By second.
    pub seconds: Vec<Second>,
}

/// The most calls to the list service that one balancer made within a second.
fn calls_most(events: &[Event]) -> usize {
    let mut calls: HashMap<u32, Vec<u64>> = HashMap::new();
    for Event { at, what } in events {
        if let What::Called { balancer } = what {
            calls.entry(*balancer).or_default().push(*at);
        }
    }
    let within = |times: &[u64], k: usize| {
        times[k..]
            .iter()
            .take_while(|at| **at < times[k] + 1_000_000)
            .count()
    };
    let most = |times: &Vec<u64>| {
        (0..times.len())
            .map(|k| within(times, k))
            .max()
            .unwrap_or(0)
    };
    calls.values().map(most).max().unwrap_or(0)
}

/// Processor time by the text of a process's `stat`, in seconds.
pub fn processor_seconds(stat: &str) -> f64 {
    // After the name, which may hold anything: user and system time are the 12th and 13th, in 1/100 s.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    ticks as f64 / 100.0
}

struct Wanted {
    since: u64,
    class: usize,
    /// When it was served, if it was.
    served: Option<u64>,
    refused: bool,
}

/// Counts a history.
pub fn figures(experiment: &Experiment, events: &[Event]) -> Figures {
    let mut wanted: HashMap<u32, Wanted> = HashMap::new();
    let (mut tries, mut attempts) = (0u32, 0u32);
    for Event { at, what } in events {
        match what {
            What::Wanted { request, class } => {
                let one = Wanted {
                    since: *at,
                    class: usize::from(*class),
                    served: None,
                    refused: false,
                };
                wanted.insert(*request, one);
            }
            What::Asked { .. } => tries += 1,
            What::Answered { id, status } => {
                if let Some(one) = wanted.get_mut(&request_of(*id)) {
                    one.refused = matches!(status, 429 | 503);
                    if *status == 200 {
                        one.served.get_or_insert(*at);
                    }
                }
            }
            What::Unanswered { id, how } => {
                if let Some(one) = wanted.get_mut(&request_of(*id)) {
                    one.refused &= *how == Lost::NoConnection;
                }
            }
            What::Arrived { .. } => attempts += 1,
            _ => {}
        }
    }
    let calls_most = calls_most(events);
    let length = experiment.length.as_secs_f64().ceil() as usize;
    let mut seconds = vec![Second::default(); length.max(1)];
    let mut classes: Vec<ClassCounts> = experiment
        .classes
        .iter()
        .map(|class| ClassCounts {
            class: class.name.clone(),
            counts: Counts::default(),
        })
        .collect();
    let mut all = times();
    let mut by_second: Vec<Histogram<u64>> = seconds.iter().map(|_| times()).collect();
    for one in wanted.values() {
        let Some(class) = experiment.classes.get(one.class) else {
            continue;
        };
        let second = ((one.since / 1_000_000) as usize).min(seconds.len() - 1);
        let took = one.served.map(|at| at - one.since);
        for counts in [&mut seconds[second].counts, &mut classes[one.class].counts] {
            counts.asked += 1;
            *match took {
                Some(took) if took as f64 <= class.aim_ms * 1e3 => &mut counts.in_time,
                Some(_) => &mut counts.late,
                None if one.refused => &mut counts.refused,
                None => &mut counts.failed,
            } += 1;
        }
        if let (Some(took), Some(at)) = (took, one.served) {
            all.saturating_record(took.max(1));
            let second = ((at / 1_000_000) as usize).min(by_second.len() - 1);
            by_second[second].saturating_record(took.max(1));
        }
    }
    for (second, times) in seconds.iter_mut().zip(&by_second) {
        (second.p50_ms, second.p99_ms) = (ms(times, 0.5), ms(times, 0.99));
    }
    loads(events, &mut seconds);
    let share = |of: &dyn Fn(&Counts) -> u32| {
        let sum = |of: &dyn Fn(&Counts) -> u32| -> f64 {
            experiment
                .classes
                .iter()
                .zip(&classes)
                .map(|(c, n)| c.worth * f64::from(of(&n.counts)))
                .sum()
        };
        sum(of) / sum(&|n| n.asked).max(1e-9)
    };
    let each = |n: &Counts| f64::from(n.in_time) / f64::from(n.asked.max(1));
    let asked = f64::from(classes.iter().map(|c| c.counts.asked).sum::<u32>().max(1));
    Figures {
        calls_most,
        served: share(&|n| n.in_time),
        worst_class: classes
            .iter()
            .filter(|c| c.counts.asked > 0)
            .map(|c| each(&c.counts))
            .fold(1.0, f64::min),
        tries: f64::from(tries) / asked,
        attempts: f64::from(attempts) / asked,
        p50_ms: ms(&all, 0.5),
        p90_ms: ms(&all, 0.9),
        p99_ms: ms(&all, 0.99),
        classes,
        seconds,
    }
}

/// Seconds left out at the start: balancers know nothing of their upstreams yet.
const SETTLES: usize = 3;

/// Share of the requests served in time before the first fault, and from `after` seconds after the end of the last
/// one on; `None` where either time holds no request.
pub fn before_and_after(
    experiment: &Experiment,
    figures: &Figures,
    after: f64,
) -> Option<(f64, f64)> {
    let first = experiment.faults.iter().map(|f| f.at).min()?.as_secs_f64() as usize;
    let last = experiment
        .faults
        .iter()
        .map(|f| f.ends(experiment.length))
        .max()?
        .as_secs_f64()
        + after;
    let share = |seconds: &[Second]| {
        let sum = |of: fn(&Counts) -> u32| {
            seconds
                .iter()
                .map(|s| f64::from(of(&s.counts)))
                .sum::<f64>()
        };
        let asked = sum(|c| c.asked);
        (asked > 0.0).then(|| sum(|c| c.in_time) / asked)
    };
    let before = figures.seconds.get(SETTLES.min(first)..first)?;
    Some((
        share(before)?,
        share(figures.seconds.get(last.ceil() as usize..)?)?,
    ))
}

fn request_of(id: TryId) -> u32 {
    (id >> TRIES_BITS) as u32
}

fn loads(events: &[Event], seconds: &mut [Second]) {
    let mut counted = vec![0u32; seconds.len()];
    for Event { at, what } in events {
        if let What::Load { util, .. } = what
            && let Some(second) = seconds.get_mut((*at / 1_000_000) as usize)
        {
            second.util += f64::from(*util);
            counted[(*at / 1_000_000) as usize] += 1;
        }
    }
    for (second, n) in seconds.iter_mut().zip(counted) {
        second.util /= f64::from(n.max(1));
    }
}

/// Times in microseconds, of up to an hour, to three digits.
pub fn times() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3)
        .expect("the bounds and three digits are allowed")
}

/// A percentile in milliseconds.
pub fn ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_counts_once_from_its_first_try() {
        let text = "name = \"x\"\nseconds = 9.0\n[fleet]\nbalancers = 2\nupstreams = 4\n";
        let experiment = Experiment::parse(text).expect("it can be meant");
        let asked = |request: u32, again: u8, class| What::Asked {
            id: u64::from(request) << TRIES_BITS | u64::from(again),
            request,
            again,
            class,
            tenant: 0,
            balancer: 0,
        };
        let answered = |request: u64, again: u64, status| What::Answered {
            id: request << TRIES_BITS | again,
            status,
        };
        let wants = |request, class| What::Wanted { request, class };
        let events = [
            (0, wants(0, 0)),
            (0, asked(0, 0, 0)),
            (100, answered(0, 0, 503)),
            (900, asked(0, 1, 0)),
            (1150, answered(0, 1, 200)),
            (2000, wants(1, 0)),
            (2000, asked(1, 0, 0)),
            (2100, answered(1, 0, 503)),
            (2900, asked(1, 1, 0)),
            (3300, answered(1, 1, 200)),
            (4000, wants(2, 3)),
            (4000, asked(2, 0, 3)),
            (4100, answered(2, 0, 503)),
            (5000, wants(3, 3)),
            (5000, asked(3, 0, 3)),
            (5100, answered(3, 0, 502)),
            (6000, wants(4, 3)),
        ];
        let events: Vec<Event> = events
            .into_iter()
            .map(|(ms, what)| Event {
                at: ms * 1000,
                what,
            })
            .collect();
        let figures = figures(&experiment, &events);
        let status = &figures.classes[0].counts;
        assert_eq!(
            (status.asked, status.in_time, status.late),
            (2, 1, 1),
            "the aim is 1.2 s"
        );
        let settle = &figures.classes[3].counts;
        assert_eq!(
            (settle.asked, settle.refused, settle.failed),
            (3, 1, 2),
            "one found no balancer"
        );
        assert!(
            (figures.served - 1.0 / 32.0).abs() < 1e-9,
            "{}",
            figures.served
        );
        assert_eq!(figures.seconds[2].counts.late, 1);
        assert_eq!(
            before_and_after(&experiment, &figures, 0.0),
            None,
            "there is no fault"
        );
        assert!((figures.tries - 6.0 / 5.0).abs() < 1e-9);
    }

    #[test]
    fn service_is_back_where_it_is_what_it_was_before_the_fault() {
        let text = "name = \"x\"\nseconds = 12.0\n[fleet]\nbalancers = 2\nupstreams = 4\n\
                    [[fault]]\nat_s = 5.0\nkind = \"slow\"\ntarget = \"all upstreams\"\nfactor = 4\nfor_s = 2.0\n";
        let experiment = Experiment::parse(text).expect("it can be meant");
        let second = |in_time| Second {
            counts: Counts {
                asked: 10,
                in_time,
                ..Counts::default()
            },
            ..Second::default()
        };
        let mut figures = figures(&experiment, &[]);
        figures.seconds = [1, 1, 1, 8, 10, 0, 0, 0, 0, 5, 6, 7].map(second).into();
        assert_eq!(
            before_and_after(&experiment, &figures, 2.0),
            Some((0.9, 0.6))
        );
        assert_eq!(
            before_and_after(&experiment, &figures, 6.0),
            None,
            "the play is over"
        );
    }
}
