//! The rules of the balancer, judged over a whole history.
//!
//! Each check is a pure function from events to what is broken, so that a test can hand it a history in which its
//! rule is.

use crate::experiment::{Effect, Experiment};
use crate::history::{Event, Listed, Lost, Process, Reply, TryId, What};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// The most attempts of one try.
const ATTEMPTS_MOST: usize = 3;
/// How long after being told something fresh may still reach an upstream, with the slack of real sockets, in
/// microseconds: 1 s and 50 ms by the protocol, and as long again as a send may take to be read here.
const GRACE: u64 = 1_150_000;

/// How far apart the lab may note two things that happen together, in microseconds.
const NOTED_WITHIN: u64 = 100_000;
/// How long one may take to leave once asked, until it is ended outright, in microseconds.
const LEAVE_MOST: u64 = 5_500_000;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each try that a balancer took gets exactly one final answer.
    OneAnswer,
    /// What is answered as served was served by an upstream.
    TrulyServed,
    /// What must not run twice reaches one upstream only.
    NeverTwice,
    /// At most three attempts.
    ThreeAttempts,
    /// Nothing fresh for an upstream more than 1 s after its drain or departure was told.
    Drained,
    /// No cold upstream pushed over.
    ColdSpared,
    /// No living process is taken for gone, and no view's version goes back.
    Present,
    /// No balancer crashed, outgrew its memory, or outlived the lab.
    Sound,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// Microseconds from the start of the load.
    pub at: u64,
    /// The request, the processes and the times.
    pub text: String,
}

/// All that is known of one try.
#[derive(Default)]
struct Try {
    asked: Option<(u64, u32, u16)>,
    answers: Vec<(u64, u16)>,
    lost: Option<(u64, Lost)>,
    arrivals: Vec<(u64, u32)>,
    replies: Vec<(u32, Reply)>,
}

/// Every rule that this history breaks, in the order of time.
pub fn broken(experiment: &Experiment, events: &[Event]) -> Vec<Broken> {
    let tries = gather(events);
    let mut found = Vec::new();
    for (id, one) in &tries {
        answers(*id, one, events, &mut found);
        attempts(*id, one, experiment, &mut found);
    }
    drains(&tries, events, &mut found);
    processes(events, &mut found);
    found.sort_by(|a, b| (a.at, a.rule, &a.text).cmp(&(b.at, b.rule, &b.text)));
    found
}

fn gather(events: &[Event]) -> BTreeMap<TryId, Try> {
    let mut tries: BTreeMap<TryId, Try> = BTreeMap::new();
    for Event { at, what } in events {
        match what {
            What::Asked {
                id,
                balancer,
                class,
                ..
            } => {
                tries.entry(*id).or_default().asked = Some((*at, *balancer, *class));
            }
            What::Answered { id, status } => {
                tries.entry(*id).or_default().answers.push((*at, *status))
            }
            What::Unanswered { id, how } => tries.entry(*id).or_default().lost = Some((*at, *how)),
            What::Arrived { id, upstream } => tries
                .entry(*id)
                .or_default()
                .arrivals
                .push((*at, *upstream)),
            What::Replied {
                id,
                upstream,
                reply,
            } => {
                tries
                    .entry(*id)
                    .or_default()
                    .replies
                    .push((*upstream, *reply));
            }
            _ => {}
        }
    }
    tries
}

fn seconds(at: u64) -> String {
    format!("{:.3} s", at as f64 / 1e6)
}

/// Whether what a balancer held between two times may be lost with it: it was ended outright meanwhile, its clients'
/// connections were reset, or it had been asked to leave shortly before.
fn ended_between(events: &[Event], balancer: u32, from: u64, to: u64) -> bool {
    events.iter().any(|e| {
        let (b, lasts) = match &e.what {
            What::Unlinked { balancer } => (balancer, NOTED_WITHIN),
            What::Balancer {
                balancer,
                became: Process::Killed | Process::Ended | Process::Crashed,
            } => (balancer, NOTED_WITHIN),
            What::Balancer {
                balancer,
                became: Process::Asked,
            } => (balancer, LEAVE_MOST),
            _ => return false,
        };
        *b == balancer && e.at + lasts >= from && e.at <= to + NOTED_WITHIN
    })
}

fn answers(id: TryId, one: &Try, events: &[Event], found: &mut Vec<Broken>) {
    let Some((asked, balancer, _)) = one.asked else {
        return;
    };
    let mut breach = |rule, at, text| found.push(Broken { rule, at, text });
    if one.answers.len() > 1 {
        let times: Vec<String> = one
            .answers
            .iter()
            .map(|(at, s)| format!("{s} at {}", seconds(*at)))
            .collect();
        let text = format!(
            "try {id:x}, asked of b{balancer} at {}, was answered {}",
            seconds(asked),
            times.join(", ")
        );
        breach(Rule::OneAnswer, one.answers[1].0, text);
    }
    if let (Some((at, Lost::Broken)), true) = (one.lost, one.answers.is_empty()) {
        // What a balancer holds when it is killed, or has not answered by the end of its leave, is lost with it.
        if !ended_between(events, balancer, asked, at) {
            let (asked, at_s) = (seconds(asked), seconds(at));
            let text = format!(
                "try {id:x}, asked of b{balancer} at {asked}: connection ended at {at_s} with no answer"
            );
            breach(Rule::OneAnswer, at, text);
        }
    }
    let served = one.replies.iter().any(|(_, reply)| *reply == Reply::Served);
    if let Some((at, _)) = one.answers.iter().find(|(_, status)| *status == 200)
        && !served
    {
        let text = format!(
            "try {id:x}: b{balancer} answered 200 at {}, no upstream served it",
            seconds(*at)
        );
        breach(Rule::TrulyServed, *at, text);
    }
}

fn attempts(id: TryId, one: &Try, experiment: &Experiment, found: &mut Vec<Broken>) {
    let Some((_, balancer, class)) = one.asked else {
        return;
    };
    let shown = || {
        let list: Vec<String> = one
            .arrivals
            .iter()
            .map(|(at, u)| format!("u{u} at {}", seconds(*at)))
            .collect();
        format!("try {id:x} of b{balancer} reached {}", list.join(", "))
    };
    if let Some((at, _)) = one.arrivals.get(ATTEMPTS_MOST) {
        found.push(Broken {
            rule: Rule::ThreeAttempts,
            at: *at,
            text: shown(),
        });
    }
    let effect = experiment.classes.get(usize::from(class)).map(|c| c.effect);
    if effect == Some(Effect::Unsafe) {
        // One that was turned away unseen did not run.
        let mut ran = one.arrivals.clone();
        for (upstream, _) in one
            .replies
            .iter()
            .filter(|(_, reply)| *reply == Reply::TurnedAway)
        {
            if let Some(k) = ran.iter().position(|(_, u)| u == upstream) {
                ran.remove(k);
            }
        }
        if let Some((at, _)) = ran.get(1) {
            found.push(Broken {
                rule: Rule::NeverTwice,
                at: *at,
                text: shown(),
            });
        }
    }
}

fn drains(tries: &BTreeMap<TryId, Try>, events: &[Event], found: &mut Vec<Broken>) {
    let mut told: HashMap<(u32, u32), Vec<(u64, Listed)>> = HashMap::new();
    for Event { at, what } in events {
        if let What::Told {
            balancer,
            upstream,
            listed,
        } = what
        {
            told.entry((*balancer, *upstream))
                .or_default()
                .push((*at, *listed));
        }
    }
    for (id, one) in tries {
        let Some((_, balancer, _)) = one.asked else {
            continue;
        };
        for (at, upstream) in &one.arrivals {
            // What it had been told last, long enough before.
            let known = told
                .get(&(balancer, *upstream))
                .map_or(&[][..], Vec::as_slice);
            let last = known.iter().rev().find(|(t, _)| t + GRACE < *at);
            let since = known
                .iter()
                .any(|(t, listed)| *listed == Listed::Ready && t + GRACE >= *at && t <= at);
            if let Some((t, listed)) = last.filter(|(_, listed)| *listed != Listed::Ready && !since)
            {
                let text = format!(
                    "try {id:x} of b{balancer} reached u{upstream} at {}, told {listed:?} at {}",
                    seconds(*at),
                    seconds(*t)
                );
                found.push(Broken {
                    rule: Rule::Drained,
                    at: *at,
                    text,
                });
            }
        }
    }
}

fn processes(events: &[Event], found: &mut Vec<Broken>) {
    for Event { at, what } in events {
        let (rule, text) = match what {
            What::Upstream {
                upstream,
                became: Process::Fell,
            } => (
                Rule::ColdSpared,
                format!("u{upstream} was pushed over while cold at {}", seconds(*at)),
            ),
            What::Balancer {
                balancer,
                became: became @ (Process::Crashed | Process::OverMemory | Process::Outlived),
            } => (
                Rule::Sound,
                format!("b{balancer}: {became:?} at {}", seconds(*at)),
            ),
            _ => continue,
        };
        found.push(Broken {
            rule,
            at: *at,
            text,
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn experiment() -> Experiment {
        let text = "name = \"x\"\nseconds = 9.0\n[fleet]\nbalancers = 2\nupstreams = 4\n";
        Experiment::parse(text).expect("it can be meant")
    }

    fn asked(id: TryId, class: u16) -> What {
        What::Asked {
            id,
            request: id as u32,
            again: 0,
            class,
            tenant: 0,
            balancer: 1,
        }
    }

    fn arrived(id: TryId, upstream: u32) -> What {
        What::Arrived { id, upstream }
    }

    fn replied(id: TryId, upstream: u32, reply: Reply) -> What {
        What::Replied {
            id,
            upstream,
            reply,
        }
    }

    fn rules(events: Vec<(u64, What)>) -> Vec<Rule> {
        let events: Vec<Event> = events
            .into_iter()
            .map(|(ms, what)| Event {
                at: ms * 1000,
                what,
            })
            .collect();
        broken(&experiment(), &events)
            .into_iter()
            .map(|b| b.rule)
            .collect()
    }

    const SETTLE: u16 = 3;

    #[test]
    fn a_history_that_keeps_the_rules_breaks_none() {
        let told = What::Told {
            balancer: 1,
            upstream: 2,
            listed: Listed::Terminating,
        };
        let kept = vec![
            (0, asked(1, SETTLE)),
            (10, arrived(1, 0)),
            (11, replied(1, 0, Reply::TurnedAway)),
            (12, arrived(1, 2)),
            (300, replied(1, 2, Reply::Served)),
            (310, What::Answered { id: 1, status: 200 }),
            (400, told),
            (1000, asked(2, 0)),
            (1010, arrived(2, 2)),
            (1020, replied(2, 2, Reply::Served)),
            (1025, What::Answered { id: 2, status: 200 }),
            (2000, asked(3, 0)),
            (
                2010,
                What::Balancer {
                    balancer: 1,
                    became: Process::Killed,
                },
            ),
            (
                2020,
                What::Unanswered {
                    id: 3,
                    how: Lost::Broken,
                },
            ),
            (3000, asked(4, 0)),
            (3001, What::Answered { id: 4, status: 503 }),
        ];
        assert_eq!(rules(kept), []);
    }

    #[test]
    fn a_kill_excuses_only_what_was_held_then() {
        let killed = What::Balancer {
            balancer: 1,
            became: Process::Killed,
        };
        let lost = What::Unanswered {
            id: 1,
            how: Lost::Broken,
        };
        let held = vec![(0, asked(1, 0)), (500, killed.clone()), (510, lost.clone())];
        assert_eq!(rules(held), []);
        let later = vec![(0, killed), (3000, asked(1, 0)), (3100, lost)];
        assert_eq!(rules(later), [Rule::OneAnswer]);
    }

    #[test]
    fn each_broken_rule_is_seen() {
        let answer = |id, status| What::Answered { id, status };
        let crashed = What::Balancer {
            balancer: 0,
            became: Process::Crashed,
        };
        let fell = What::Upstream {
            upstream: 3,
            became: Process::Fell,
        };
        let gone = What::Told {
            balancer: 1,
            upstream: 2,
            listed: Listed::Gone,
        };
        for (rule, events) in [
            (
                Rule::OneAnswer,
                vec![(0, asked(1, 0)), (5, answer(1, 503)), (6, answer(1, 503))],
            ),
            (
                Rule::OneAnswer,
                vec![
                    (0, asked(1, 0)),
                    (
                        5,
                        What::Unanswered {
                            id: 1,
                            how: Lost::Broken,
                        },
                    ),
                ],
            ),
            (
                Rule::TrulyServed,
                vec![(0, asked(1, 0)), (5, answer(1, 200))],
            ),
            (
                Rule::NeverTwice,
                vec![
                    (0, asked(1, SETTLE)),
                    (5, arrived(1, 0)),
                    (9, arrived(1, 2)),
                ],
            ),
            (
                Rule::ThreeAttempts,
                (0..5)
                    .map(|k| {
                        if k == 0 {
                            (0, asked(1, 0))
                        } else {
                            (k, arrived(1, 0))
                        }
                    })
                    .collect(),
            ),
            (
                Rule::Drained,
                vec![(0, gone), (1000, asked(1, 0)), (1200, arrived(1, 2))],
            ),
            (Rule::ColdSpared, vec![(7, fell)]),
            (Rule::Sound, vec![(7, crashed)]),
        ] {
            assert_eq!(rules(events), [rule], "{rule:?}");
        }
    }
}
