//! The list as a state machine: leases, drains, replacements, versions.

use frostkeel_registry::list::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn record(n: u64, boot_ms: u64) -> Record {
    Record {
        uid: format!("u{n}"),
        endpoint: format!("10.0.0.{n}:80"),
        az: "a".into(),
        model: "m".into(),
        pod_group: 0,
        state: State::Ready,
        capacity_hint: 1.0,
        boot_ms,
    }
}

fn register(n: u64, boot_ms: u64) -> Command {
    Command::Register {
        record: record(n, boot_ms),
        lease: 10 * S,
    }
}

fn list(count: u64) -> List {
    let rules = Rules {
        grace: Duration::ZERO,
        ..Rules::default()
    };
    let mut list = List::new(rules, Duration::ZERO, 0, Vec::new());
    (1..=count).for_each(|n| drop(list.apply(Duration::ZERO, register(n, 1), None)));
    list
}

fn there(list: &List) -> Vec<&str> {
    list.since(None)
        .records
        .iter()
        .map(|r| r.uid.as_str())
        .collect()
}

#[test]
fn what_is_said_twice_changes_nothing_and_what_is_old_is_refused() {
    let mut list = list(2);
    assert_eq!(list.apply(S, register(1, 1), None), Ok(2));
    assert_eq!(
        list.apply(S, Command::Drain { uid: "u1".into() }, Some(2)),
        Ok(3)
    );
    assert_eq!(
        list.apply(S, Command::Drain { uid: "u1".into() }, None),
        Ok(3)
    );
    assert_eq!(
        list.apply(S, register(1, 1), None),
        Ok(3),
        "the same life does not undo its drain"
    );
    assert_eq!(
        list.apply(S, Command::Drain { uid: "u1".into() }, Some(2)),
        Err(Refused::Version(3))
    );
    assert_eq!(
        list.apply(S, register(1, 5), None),
        Ok(4),
        "a later one does"
    );
    assert_eq!(
        list.apply(S, register(1, 4), None),
        Err(Refused::Replaced(5))
    );
    let renew = |boot_ms| Command::Renew {
        uid: "u1".into(),
        boot_ms,
    };
    assert_eq!(list.apply(S, renew(5), None), Ok(4));
    assert_eq!(list.apply(S, renew(1), None), Err(Refused::Replaced(5)));
    let mut same_place = record(3, 9);
    same_place.endpoint = record(2, 1).endpoint;
    let moved = Command::Register {
        record: same_place.clone(),
        lease: S,
    };
    assert_eq!(list.apply(S, moved, None), Ok(6));
    assert_eq!(there(&list), ["u1", "u3"], "the later one has the endpoint");
    same_place.uid = "u4".into();
    let late = Command::Register {
        record: same_place,
        lease: S,
    };
    assert_eq!(list.apply(S, late, None), Err(Refused::Taken("u3".into())));
    let gone = Command::Deregister {
        uid: "u9".into(),
        boot_ms: None,
    };
    assert_eq!(list.apply(S, gone, None), Ok(6));
}

#[test]
fn one_that_falls_silent_is_gone_and_many_at_once_are_held() {
    let mut list = list(10);
    let renew = |list: &mut List, now, of: std::ops::RangeInclusive<u64>| {
        for n in of {
            let renewed = list.apply(
                now,
                Command::Renew {
                    uid: format!("u{n}"),
                    boot_ms: 1,
                },
                None,
            );
            renewed.expect("there");
        }
    };
    (1..=8).for_each(|k| list.tick(k * S));
    renew(&mut list, 8 * S, 2..=10);
    (9..=11).for_each(|k| list.tick(k * S));
    assert_eq!((there(&list).len(), list.holds()), (9, false));
    (12..=20).for_each(|k| list.tick(k * S));
    assert_eq!(
        (there(&list).len(), list.holds()),
        (9, true),
        "nine of nine: likelier the service's own fault"
    );
    renew(&mut list, 20 * S, 3..=10);
    list.tick(21 * S);
    assert_eq!(
        (there(&list).len(), list.holds()),
        (8, false),
        "the others are back: that one is gone"
    );
}

#[test]
fn a_pause_of_its_own_ends_no_lease() {
    let mut list = List::new(
        Rules::default(),
        Duration::ZERO,
        7,
        vec![(record(1, 1), 10 * S), (record(2, 1), 10 * S)],
    );
    (1..=14).for_each(|k| list.tick(k * S));
    assert_eq!(
        (there(&list).len(), list.holds()),
        (2, true),
        "it has just come back"
    );
    list.apply(
        14 * S,
        Command::Renew {
            uid: "u1".into(),
            boot_ms: 1,
        },
        None,
    )
    .expect("there");
    (15..=16).for_each(|k| list.tick(k * S));
    assert_eq!(there(&list), ["u1"]);
    list.tick(100 * S);
    assert_eq!(there(&list), ["u1"], "stopped for longer than the lease");
    (101..=130).for_each(|k| list.tick(k * S));
    assert_eq!(
        there(&list).len(),
        0,
        "not even then renewed: a single one may go"
    );
}

fn command() -> impl Strategy<Value = (Command, bool)> {
    let uid = (1u64..6).prop_map(|n| format!("u{n}"));
    let command = prop_oneof![
        4 => (1u64..6, 1u64..4).prop_map(|(n, boot)| register(n, boot)),
        1 => uid.clone().prop_map(|uid| Command::Drain { uid }),
        1 => uid.clone().prop_map(|uid| Command::Deregister { uid, boot_ms: None }),
        1 => (uid.clone(), 0u8..3).prop_map(|(uid, w)| Command::Weight { uid, capacity_hint: f64::from(w) }),
        1 => (uid, 1u64..4).prop_map(|(uid, boot_ms)| Command::Renew { uid, boot_ms }),
    ];
    (command, any::<bool>())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10_000))]

    /// Against plain maps: a reader that follows changes, one that reads the whole list now and then, and one that
    /// starts from what was kept, all have the list; versions go up by one with each change.
    #[test]
    fn readers_that_follow_have_the_list(commands in proptest::collection::vec(command(), 1..60), kept in 1usize..20) {
        let rules = Rules { changes_kept: kept, ..Rules::default() };
        let mut list = List::new(rules.clone(), Duration::ZERO, 0, Vec::new());
        let mut follower: BTreeMap<String, Record> = BTreeMap::new();
        let mut disk: BTreeMap<String, (Record, Duration)> = BTreeMap::new();
        let mut at = None;
        for (k, (command, reads)) in commands.into_iter().enumerate() {
            let before = list.rev();
            let now = Duration::from_millis(100) * k as u32;
            let done = list.apply(now, command, None);
            // One register can end another one's entry too.
            prop_assert!(done.is_err() || (before..=before + 2).contains(&list.rev()));
            for (uid, record) in list.take_touched() {
                match record {
                    Some(record) => drop(disk.insert(uid, record)),
                    None => drop(disk.remove(&uid)),
                }
            }
            if reads {
                let news = list.since(at);
                if news.all {
                    follower.clear();
                }
                for record in news.records {
                    match record.state {
                        State::Gone => drop(follower.remove(&record.uid)),
                        _ => drop(follower.insert(record.uid.clone(), record.clone())),
                    }
                }
                at = Some(news.rev);
                let whole: Vec<Record> = list.since(None).records.into_iter().cloned().collect();
                prop_assert_eq!(follower.values().cloned().collect::<Vec<_>>(), whole.clone());
                let again = List::new(rules.clone(), now, list.rev(), disk.values().cloned().collect());
                prop_assert_eq!(again.since(None).records.into_iter().cloned().collect::<Vec<_>>(), whole);
                prop_assert!(again.since(Some(list.rev() + 1)).all, "from the future: the whole list");
            }
        }
    }
}
