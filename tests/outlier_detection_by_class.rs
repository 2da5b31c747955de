//! Upstreams that fail for one class of requests, or for all of them.

mod common;
use common::*;
use frostkeel_policy::*;

/// Silent for one class, well for the other: the class goes elsewhere, the other stays, and in time it is tried again.
#[test]
fn timeouts_of_one_class_move_only_that_class() {
    let mut set = one_class(Effect::AtMostOnce);
    set.classes.push(class(400, 1000, Effect::AtMostOnce));
    let mut bench = Bench::new(set, &fleet(4));
    let silent = UpstreamId(3);
    let mut sent = [0; 2];
    let mut round = |bench: &mut Bench, rounds: u64, ill: bool| {
        let before = sent;
        for k in 0..2 * rounds {
            let class = (k / 3 % 2) as u16;
            let id = bench.request(class, 0, ms(450));
            let Some(upstream) = bench.at(id, 0) else {
                continue;
            };
            sent[usize::from(class)] += usize::from(upstream == silent);
            bench.run(ms(10));
            if upstream == silent && class == 0 && ill {
                bench.run(ms(440));
                bench.ended(id, 0, Outcome::TimedOut);
            } else {
                bench.ended(id, 0, Outcome::Ok);
            }
            bench.run(ms(40));
        }
        [sent[0] - before[0], sent[1] - before[1]]
    };
    round(&mut bench, 50, false);
    let [ill, well] = round(&mut bench, 400, true);
    assert!(ill <= 20, "{ill} of 400 went where they get no answer");
    assert!(
        well >= 100,
        "{well} of 400 of the class that is served there"
    );
    let [back, _] = round(&mut bench, 600, false);
    assert!(back >= 60, "{back} of 600 after it has recovered");
}

/// One that turns a class away at once holds nothing and so looks the emptiest: it must not draw the class.
#[test]
fn an_upstream_that_rejects_a_class_does_not_attract_it() {
    let mut set = one_class(Effect::AtMostOnce);
    set.classes.push(class(400, 1000, Effect::AtMostOnce));
    let mut bench = Bench::new(set, &fleet(4));
    let (closed, mut turned, mut served) = (UpstreamId(2), 0, 0);
    for k in 0..600u64 {
        let class = (k / 3 % 2) as u16;
        let id = bench.request(class, 0, ms(900));
        let mut attempt = 0;
        while let Some(upstream) = bench.at(id, attempt) {
            if upstream == closed && class == 0 {
                turned += 1;
                bench.ended(id, attempt, Outcome::Rejected);
            } else {
                served += usize::from(upstream == closed);
                bench.run(ms(60));
                bench.ended(id, attempt, Outcome::Ok);
            }
            attempt += 1;
        }
        bench.run(ms(10));
    }
    assert!(
        turned <= 12,
        "turned away {turned} times by one that takes none of the class"
    );
    assert!(served >= 60, "{served} of the other class served there");
}

/// Thin traffic of four classes, one of them unrepeatable: how often `ill` was sent to, and with what of that class,
/// in the last of 40 s. `answer` is told how many attempts `ill` has had and says how this one ends.
fn thin_traffic_with_one_ill(answer: impl Fn(usize) -> Option<Outcome>) -> (usize, usize) {
    let effects = [
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::AtMostOnce,
    ];
    let classes = effects.map(|e| class(1200, 3000, e)).to_vec();
    let mut bench = Bench::new(
        Settings {
            classes,
            ..Settings::default()
        },
        &fleet(10),
    );
    let (ill, mut out, mut before) = (UpstreamId(2), Vec::new(), (0, 0));
    let (mut met, mut unsafe_met) = (0, 0);
    for k in 0..600usize {
        if k == 300 {
            before = (met, unsafe_met);
        }
        let id = bench.request((k * 7 / 3 % 4) as u16, 0, ms(2500));
        out.push((id, 0, bench.now, k * 7 / 3 % 4 == 3));
        for _ in 0..7 {
            bench.run(ms(10));
            let mut still = Vec::new();
            for (id, attempt, since, once) in std::mem::take(&mut out) {
                // A second copy is looked after as the first is.
                if attempt == 0 && bench.at(id, 1).is_some() && !bench.answers.contains_key(&id) {
                    bench.ended(id, 1, Outcome::Ok);
                    bench.ended(id, 0, Outcome::Cancelled);
                    continue;
                }
                let Some(upstream) = bench.at(id, attempt) else {
                    continue;
                };
                let bad = upstream == ill && k >= 200;
                let ended = if bad { answer(met) } else { Some(Outcome::Ok) };
                let due = since + ms(if bad { 20 } else { 150 });
                match ended {
                    Some(outcome) if bench.now >= due => {
                        (met, unsafe_met) = (
                            met + usize::from(bad),
                            unsafe_met + usize::from(bad && once),
                        );
                        bench.ended(id, attempt, outcome);
                        if outcome != Outcome::Ok && bench.at(id, attempt + 1).is_some() {
                            still.push((id, attempt + 1, bench.now, once));
                        }
                    }
                    None if bench.now >= since + ms(1170) => {
                        (met, unsafe_met) = (met + 1, unsafe_met + usize::from(once));
                        bench.ended(id, attempt, Outcome::TimedOut);
                    }
                    _ => still.push((id, attempt, since, once)),
                }
            }
            out = still;
        }
    }
    (met - before.0, unsafe_met - before.1)
}

/// Most of what it is sent fails at once, whatever the class, and some is answered in between: each class alone meets
/// few faults in a row there, all together enough.
#[test]
fn ejects_for_all_classes_when_most_attempts_of_each_fail() {
    let (met, of_once) =
        thin_traffic_with_one_ill(|n| Some([Outcome::Error, Outcome::Ok][usize::from(n % 4 == 3)]));
    assert!(
        met <= 15,
        "{met} of 300 sent to one that fails three in four"
    );
    assert!(of_once <= 1, "{of_once} of them can't be repeated");
}

/// Silent for all classes: what one of them has met there the others need not meet too.
#[test]
fn ejects_for_all_classes_when_all_attempts_time_out() {
    let (met, of_once) = thin_traffic_with_one_ill(|_| None);
    assert!(
        met <= 8,
        "{met} of 300 waited for an answer of one that gives none"
    );
    assert_eq!(of_once, 0, "of them can't be repeated");
}

/// One that drains unlisted turns everything away: all classes leave it, not each after its own two tries.
#[test]
fn ejects_for_all_classes_when_all_attempts_are_rejected() {
    let (met, _) = thin_traffic_with_one_ill(|_| Some(Outcome::Rejected));
    assert!(met <= 3, "{met} of 300 sent to one that turns all away");
}
