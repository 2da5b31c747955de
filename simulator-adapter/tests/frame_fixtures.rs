//! Whole sessions and malformed frames through the program, compared with what an earlier version answered.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod common;

use common::{
    NamedBytes, error_message, frame, parse_hex, parse_named_hex, run_adapter, split_replies,
};
use std::collections::BTreeSet;

#[test]
fn replies_to_a_session_byte_for_byte() {
    let output = run_adapter(&parse_hex(include_str!("data/session.events.hex")));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert!(output.status.success());
    let expected = parse_hex(include_str!("data/session.replies.hex"));
    let first = output
        .stdout
        .iter()
        .zip(&expected)
        .position(|(got, want)| got != want);
    assert_eq!(
        (first, output.stdout.len()),
        (None, expected.len()),
        "the first byte that differs"
    );
}

/// Guards the data of the test above: both directions are there, each kind that a session can have.
#[test]
fn session_data_covers_every_record_and_action() {
    let kinds = |text: &'static str| -> BTreeSet<&str> {
        text.lines()
            .filter_map(|line| line.split("  # ").nth(1))
            .filter(|name| !name.contains(' '))
            .collect()
    };
    let records = kinds(include_str!("data/session.events.hex"));
    assert_eq!(records.len(), 11, "{records:?}");
    let actions = kinds(include_str!("data/session.replies.hex"));
    // Closing idle connections needs a subset, health checks and log lines a balancer on sockets: see `actions.hex`.
    let expected = [
        "CANCEL",
        "FAIL",
        "FORWARD",
        "KEEP_INFORMED",
        "NOTIFY_ME",
        "OVERLOAD_REPLY",
    ];
    assert!(
        expected.iter().all(|name| actions.contains(name)),
        "{actions:?}"
    );
}

/// The error for a frame that follows a valid one. Only the valid one is answered.
fn error_for(malformed: &[u8]) -> String {
    let output = run_adapter(
        &[
            parse_hex(include_str!("data/start.hex")),
            malformed.to_vec(),
        ]
        .concat(),
    );
    let message = error_message(&output);
    let replies = split_replies(&output.stdout);
    assert_eq!(replies.len(), 1, "one whole reply and no more: {message}");
    message
}

#[test]
fn reports_malformed_frames_with_the_byte_position() {
    let text = include_str!("data/malformed_frames.txt");
    assert!(text.lines().count() >= 30);
    for line in text.lines() {
        let [name, digits, message] = *line.split(" | ").collect::<Vec<_>>() else {
            panic!("name, bytes and message: {line}");
        };
        assert_eq!(error_for(&parse_hex(digits)), message, "{name}");
    }
}

/// The record that a name of `truncated_records.txt` stands for: the first of its kind.
fn record_of_kind<'a>(records: &'a [NamedBytes], kind: &str) -> &'a [u8] {
    let record = records
        .iter()
        .find(|record| record.name.split(' ').next() == Some(kind));
    &record
        .unwrap_or_else(|| panic!("no record is named {kind}"))
        .bytes
}

#[test]
fn reports_records_truncated_at_every_byte() {
    let records = parse_named_hex(include_str!("data/records.hex"));
    let mut kinds = BTreeSet::new();
    let mut cuts = 0;
    for line in include_str!("data/truncated_records.txt").lines() {
        let (cut, message) = line.split_once(": ").expect("a cut and its message");
        let (kind, length) = cut.split_once(' ').expect("a kind and a length");
        let length: usize = length.parse().expect("a length");
        let truncated = &record_of_kind(&records, kind)[..length];
        assert_eq!(error_for(&frame(1001.0, truncated)), message, "{cut}");
        kinds.insert(kind);
        cuts += 1;
    }
    assert_eq!(kinds.len(), 11, "{kinds:?}");
    let possible_cuts = kinds
        .iter()
        .map(|kind| record_of_kind(&records, kind).len() - 1);
    assert_eq!(
        cuts,
        possible_cuts.sum::<usize>(),
        "each record is cut after each of its bytes"
    );
}

/// The byte is that of the record; what is wrong is said in the settings' own terms.
#[test]
fn reports_invalid_settings_with_the_position_of_their_record() {
    for (settings, word) in [
        ("{\"balancers\": ", "line 1 column 14"),
        ("{\"balancers\": \"two\"}", "\"two\""),
        (
            "{\"classes\": [{\"effect\": \"sometimes\"}]}",
            "\"sometimes\"",
        ),
        ("{\"balancers\": 1}", "class"),
        ("{\"classes\": [{\"worth\": -1.0}]}", "range"),
    ] {
        let detach = [8, 0, 0, 0, 9];
        let length = (settings.len() as u32).to_be_bytes();
        let head = [&[5, 0, 0, 0, 4][..], &7u64.to_be_bytes(), &length].concat();
        let message = error_for(&frame(
            1001.0,
            &[&detach, &head[..], settings.as_bytes()].concat(),
        ));
        assert!(
            message.starts_with("byte 17: ") && message.contains(word),
            "{settings}: {message}"
        );
    }
}
