//! Runs the program with a complete session and with malformed frames, and compares its output with fixtures. The
//! replies of the session were recorded with an earlier version.

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

/// Checks that the data of `replies_to_a_session_byte_for_byte` contains all kinds of records, and all kinds of actions
/// that this session can cause. Without this check, a kind missing from the data would go untested.
#[test]
fn session_data_covers_all_record_kinds_and_six_action_kinds() {
    let kinds = |text: &'static str| -> BTreeSet<&str> {
        text.lines()
            .filter_map(|line| line.split("  # ").nth(1))
            .filter(|name| !name.contains(' '))
            .collect()
    };
    let records = kinds(include_str!("data/session.events.hex"));
    assert_eq!(records.len(), 11, "{records:?}");
    let actions = kinds(include_str!("data/session.replies.hex"));
    // The session can't cause CLOSE_IDLE, which needs a subset of the upstreams, nor HEALTH_CHECK and SAY_LOG, which
    // need a balancer on sockets. The tests in `codec.rs` cover these actions with `actions.hex`.
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

/// Returns the error message for a malformed frame that follows a valid one. Checks that only the valid frame gets a
/// reply.
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
    assert_eq!(
        replies.len(),
        1,
        "only the valid frame gets a reply: {message}"
    );
    message
}

#[test]
fn reports_malformed_frames_with_the_byte_position() {
    let text = include_str!("data/malformed_frames.txt");
    assert!(text.lines().count() >= 30);
    for line in text.lines() {
        let [name, digits, message] = *line.split(" | ").collect::<Vec<_>>() else {
            panic!("expected `NAME | BYTES | MESSAGE`, got: {line}");
        };
        assert_eq!(error_for(&parse_hex(digits)), message, "{name}");
    }
}

/// Returns the first record of this kind. The lines of `truncated_records.txt` name records by their kind.
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
    let mut truncation_count = 0;
    for line in include_str!("data/truncated_records.txt").lines() {
        let (truncation, message) = line.split_once(": ").expect("a truncation and its message");
        let (kind, length) = truncation.split_once(' ').expect("a kind and a length");
        let length: usize = length.parse().expect("a length");
        let truncated = &record_of_kind(&records, kind)[..length];
        assert_eq!(
            error_for(&frame(1001.0, truncated)),
            message,
            "{truncation}"
        );
        kinds.insert(kind);
        truncation_count += 1;
    }
    assert_eq!(kinds.len(), 11, "{kinds:?}");
    let expected_counts = kinds
        .iter()
        .map(|kind| record_of_kind(&records, kind).len() - 1);
    assert_eq!(
        truncation_count,
        expected_counts.sum::<usize>(),
        "each record is truncated after each byte but the last"
    );
}

/// Checks that the message names the first byte of the record with the settings, and contains the error of the
/// settings.
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
        let stop_record = [8, 0, 0, 0, 9];
        let length = (settings.len() as u32).to_be_bytes();
        let start_header = [&[5, 0, 0, 0, 4][..], &7u64.to_be_bytes(), &length].concat();
        let message = error_for(&frame(
            1001.0,
            &[&stop_record, &start_header[..], settings.as_bytes()].concat(),
        ));
        assert!(
            message.starts_with("byte 17: ") && message.contains(word),
            "{settings}: {message}"
        );
    }
}
