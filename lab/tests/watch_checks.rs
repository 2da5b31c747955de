//! The checks of a registry's watches, which must report each violation.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use frostkeel_lab::checks::watch_checks::{
    WatchedList, Watcher, Weights, acknowledged_changes_are_listed, read_is_as_new_as_acknowledged,
    watchers_have_the_list,
};

/// Returns a line of a watch with one upstream, whose weight is 7.
fn line(revision: u64, is_snapshot: bool, state: &str) -> String {
    let record =
        "\"uid\":\"u1\",\"endpoint\":\"\",\"az\":\"\",\"model\":\"\",\"pod_group\":0,\"boot_ms\":1";
    format!(
        "{{\"rev\":{revision},\"all\":{is_snapshot},\"targets\":[{{{record},\"state\":{state:?},\
         \"capacity_hint\":7}}]}}"
    )
}

/// Returns the number of lines that are unreadable or violate a rule.
fn violation_count(lines: &[String]) -> usize {
    let mut watcher = Watcher::new(1);
    let is_violation = |line: &String| match watcher.apply_line(line.as_bytes()) {
        Ok(applied) => applied.violation.is_some(),
        Err(_) => true,
    };
    lines
        .iter()
        .map(is_violation)
        .filter(|is_violation| *is_violation)
        .count()
}

#[test]
fn revision_that_decreases_or_stays_equal_is_a_violation() {
    for (lines, expected) in [
        (
            vec![
                line(4, true, "Ready"),
                line(5, false, "Ready"),
                line(5, true, "Ready"),
            ],
            0,
        ),
        (vec![line(4, true, "Ready"), line(3, false, "Ready")], 1),
        (vec![line(4, true, "Ready"), line(4, false, "Ready")], 1),
        (vec![line(4, true, "Ready"), line(3, true, "Ready")], 1),
        (vec!["nonsense".into()], 1),
    ] {
        assert_eq!(violation_count(&lines), expected, "{lines:?}");
    }
}

#[test]
fn watcher_applies_snapshots_and_removals() {
    let mut watcher = Watcher::new(1);
    watcher
        .apply_line(line(4, true, "Ready").as_bytes())
        .expect("a readable line");
    let list = watcher.list();
    assert_eq!((list.revision, list.weights.get("u1")), (4, Some(&7)));
    watcher
        .apply_line(line(5, false, "Gone").as_bytes())
        .expect("a readable line");
    let list = watcher.list();
    assert_eq!((list.revision, list.weights.len()), (5, 0));
}

#[test]
fn differing_watchers_and_lost_changes_are_violations() {
    let weights = Weights::from([("u1".to_owned(), 7)]);
    let list = WatchedList {
        revision: 5,
        weights: weights.clone(),
    };
    let behind = WatchedList {
        revision: 4,
        weights,
    };
    assert_eq!(
        watchers_have_the_list(&[list.clone(), list.clone()], &list),
        None
    );
    assert!(watchers_have_the_list(&[list.clone(), behind], &list).is_some());
    let acknowledged = |weight| Weights::from([("u1".to_owned(), weight)]);
    assert_eq!(
        acknowledged_changes_are_listed(&acknowledged(6), &list).len(),
        0
    );
    assert_eq!(
        acknowledged_changes_are_listed(&acknowledged(8), &list).len(),
        1
    );
    assert_eq!(read_is_as_new_as_acknowledged(5, 5), None);
    assert!(read_is_as_new_as_acknowledged(5, 4).is_some());
}
