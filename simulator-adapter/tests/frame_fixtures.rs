//! The simulator's wire, held by bytes that an earlier version wrote: a whole session through the program, each record
//! and each action alone, and what is said of frames that are malformed.

#[path = "../src/wire.rs"]
#[allow(dead_code)]
mod wire;

use frostkeel_policy::{
    Action, AttemptNo, Availability, CellId, ClassId, Endpoint, FailureReason, KindId, Outcome,
    RequestId, TenantId, TimerId, UpdateScope, UpstreamId, ZoneId,
};
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;
use wire::{End, Located, Record};

const PROGRAM: &str = "frostkeel-simulator-adapter";

/// The bytes of a text in hexadecimal; what stands after `#` is for the reader.
fn bytes(text: &str) -> Vec<u8> {
    let digits = |line: &str| line.split('#').next().unwrap_or("").replace(' ', "");
    let digits: String = text.lines().map(digits).collect();
    assert!(digits.len().is_multiple_of(2), "half a byte in {digits}");
    let byte = |k: usize| u8::from_str_radix(&digits[k..k + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Each line's name and bytes.
fn named(text: &str) -> Vec<(&str, Vec<u8>)> {
    let line = |line| {
        let (digits, name) = str::split_once(line, "  # ").expect("bytes and a name");
        (name, bytes(digits))
    };
    text.lines().map(line).collect()
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostkeel-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its input");
    let input = input.to_owned();
    // Beside the reading: a session is longer than what a pipe holds. A closed pipe is an answer, too.
    let writer = std::thread::spawn(move || drop(stdin.write_all(&input)));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("written");
    output
}

fn frame(clock_ms: f64, records: &[u8]) -> Vec<u8> {
    let length = (8 + records.len() as u32).to_be_bytes();
    [&length[..], &clock_ms.to_be_bytes(), records].concat()
}

#[test]
fn replies_to_a_session_byte_for_byte() {
    let output = run(&bytes(include_str!("data/session.events.hex")));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert!(output.status.success());
    let expected = bytes(include_str!("data/session.replies.hex"));
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
    let kinds = |text: &'static str| -> std::collections::BTreeSet<&str> {
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

const INSTANCE: u32 = 3;
const REQUEST: RequestId = RequestId(0x5d3a_91c4);

/// 10.18.74.`host`:11203 as the wire has it.
fn upstream(host: u8) -> UpstreamId {
    UpstreamId(0x0a12_4a00_2bc3 | u64::from(host) << 16)
}

fn micros(value: u64) -> Duration {
    Duration::from_micros(value)
}

fn ended(outcome: Outcome, finished: bool, report: &[f32]) -> Record {
    let end = End {
        upstream: upstream(7),
        outcome,
        latency: micros(4_500),
        report: report.to_vec(),
    };
    Record::Ended {
        id: REQUEST,
        attempt: AttemptNo(1),
        finished,
        end,
    }
}

/// The records of `records.hex` in its order.
fn records() -> Vec<(u32, Record)> {
    let endpoints = vec![
        Endpoint {
            id: upstream(7),
            zone: ZoneId(1),
            kind: KindId(258),
            cell: CellId(772),
            availability: Availability::Removed,
            weight: 1.5,
            started: None,
        },
        Endpoint {
            id: upstream(8),
            zone: ZoneId(2),
            kind: KindId(3),
            cell: CellId(4),
            availability: Availability::Ready,
            weight: 0.25,
            started: Some(micros(6_103_500)),
        },
        Endpoint {
            id: upstream(9),
            zone: ZoneId(255),
            kind: KindId(65535),
            cell: CellId(65535),
            availability: Availability::Draining,
            weight: -2.0,
            started: None,
        },
    ];
    let request = |id, class, tenant, left, work, is_retry| Record::Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(tenant),
        left: micros(left),
        work,
        is_retry,
    };
    let probed = |outcome, latency, report: &[f32]| Record::Probed {
        end: End {
            upstream: upstream(7),
            outcome,
            latency: micros(latency),
            report: report.to_vec(),
        },
    };
    let fleet = |scope| (INSTANCE, Record::Fleet { scope, list: 15 });
    vec![
        (INSTANCE, Record::Peer),
        (
            INSTANCE,
            Record::Gone {
                id: RequestId(0x0e6f_2b19),
            },
        ),
        (
            INSTANCE,
            Record::Started {
                id: REQUEST,
                attempt: AttemptNo(2),
                latency: micros(9_250),
            },
        ),
        (
            0,
            Record::Directory {
                list: 15,
                endpoints,
            },
        ),
        (
            0,
            Record::Directory {
                list: 0,
                endpoints: Vec::new(),
            },
        ),
        (
            INSTANCE,
            Record::PowerOn {
                seed: 0x0102_0304_0506_0708,
                settings: r#"{"classes": [{"name": "a"}]}"#.to_owned(),
            },
        ),
        (
            INSTANCE,
            Record::Timer {
                timer: TimerId(0x4d),
            },
        ),
        (INSTANCE, probed(Outcome::Ok, 1_400, &[0.62, 7.0])),
        (u32::MAX, probed(Outcome::Reset, 2_500, &[])),
        (INSTANCE, Record::Detach),
        fleet(UpdateScope::Failed),
        fleet(UpdateScope::Snapshot),
        fleet(UpdateScope::Cached),
        fleet(UpdateScope::Delta),
        (INSTANCE, ended(Outcome::Ok, true, &[0.62, 7.0])),
        (INSTANCE, ended(Outcome::Error, false, &[])),
        (INSTANCE, ended(Outcome::Rejected, true, &[])),
        (INSTANCE, ended(Outcome::TimedOut, false, &[1.0])),
        (INSTANCE, ended(Outcome::ConnectFailed, false, &[])),
        (INSTANCE, ended(Outcome::Reset, true, &[])),
        (INSTANCE, ended(Outcome::Cancelled, false, &[])),
        (INSTANCE, ended(Outcome::NotSent, false, &[])),
        (
            INSTANCE,
            request(REQUEST.0, 2, 3, 240_000, Some(12.0), false),
        ),
        (INSTANCE, request(1, 0, 0, 240_000, None, false)),
        (
            INSTANCE,
            request(2, 65535, u32::MAX, 240_000, Some(12.0), true),
        ),
        (INSTANCE, request(2, 0, 0, 240_000, None, false)),
        (INSTANCE, request(2, 0, 0, 0, None, true)),
    ]
}

#[test]
fn decodes_each_record_kind() {
    let lines = named(include_str!("data/records.hex"));
    let expected = records();
    assert_eq!(lines.len(), expected.len());
    for ((name, bytes), (instance, record)) in lines.iter().zip(&expected) {
        let read = wire::decode(&frame(1001.5, bytes));
        let (clock, mut records) = read.unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(clock, micros(1_001_500));
        let Located {
            at,
            instance: of,
            record: read,
        } = records.pop().expect("a record");
        assert_eq!((at, of, &read), (12, *instance, record), "{name}");
        assert!(records.is_empty(), "{name}: one record");
    }
    let all: Vec<u8> = lines.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
    let (_, together) = wire::decode(&frame(0.0, &all)).expect("one frame with all of them");
    let together: Vec<_> = together
        .into_iter()
        .map(|located| (located.instance, located.record))
        .collect();
    assert_eq!(together, expected);
}

/// The actions of `actions.hex` in its order.
fn actions() -> Vec<(u32, Action)> {
    let (id, other) = (REQUEST, RequestId(0x0e6f_2b19));
    let refuse = |retry_after| {
        (
            INSTANCE,
            Action::Reject {
                id: other,
                retry_after,
                reason: FailureReason::NoSpareCapacity,
            },
        )
    };
    let ms = Duration::from_millis;
    vec![
        (
            INSTANCE,
            Action::Attempt {
                id,
                upstream: upstream(7),
                timeout: Some(ms(80)),
            },
        ),
        (
            INSTANCE,
            Action::Attempt {
                id: RequestId(1),
                upstream: upstream(8),
                timeout: None,
            },
        ),
        (
            u32::MAX,
            Action::Attempt {
                id: RequestId(2),
                upstream: upstream(9),
                timeout: Some(micros(1)),
            },
        ),
        (
            INSTANCE,
            Action::Cancel {
                id,
                attempt: AttemptNo(2),
            },
        ),
        refuse(Some(ms(250))),
        refuse(None),
        (
            INSTANCE,
            Action::Fail {
                id: other,
                reason: FailureReason::Timeout,
            },
        ),
        (
            INSTANCE,
            Action::Timer {
                after: ms(500),
                timer: TimerId(0x4d),
            },
        ),
        (INSTANCE, Action::WatchEndpoints),
        (
            INSTANCE,
            Action::CloseIdleConnections {
                upstream: upstream(7),
            },
        ),
        (
            INSTANCE,
            Action::HealthCheck {
                upstream: upstream(7),
            },
        ),
        (
            5,
            Action::Log {
                line: "two servers known".to_owned(),
            },
        ),
    ]
}

#[test]
fn encodes_each_action_kind() {
    let lines = named(include_str!("data/actions.hex"));
    let actions = actions();
    assert_eq!(lines.len(), actions.len());
    let mut together = vec![7, 7];
    wire::begin(&mut together);
    for ((name, bytes), (instance, action)) in lines.iter().zip(&actions) {
        let mut alone = Vec::new();
        wire::encode(&mut alone, *instance, action);
        assert_eq!(&alone, bytes, "{name}");
        wire::encode(&mut together, *instance, action);
    }
    wire::finish(&mut together);
    let all: Vec<u8> = lines.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
    assert_eq!(
        together,
        [&(all.len() as u32).to_be_bytes()[..], &all].concat()
    );
}

#[test]
fn truncates_log_lines_at_the_length_field_limit() {
    let mut written = Vec::new();
    wire::encode(
        &mut written,
        1,
        &Action::Log {
            line: "x".repeat(70_000),
        },
    );
    assert_eq!(written[..7], [69, 0, 0, 0, 1, 0xff, 0xff]);
    assert_eq!(written.len(), 7 + 65_535);
}

/// What the adapter says of a frame that follows a sound one; it ends with code 1 and has answered the sound one alone.
fn complaint(malformed: &[u8]) -> String {
    let output = run(&[bytes(include_str!("data/start.hex")), malformed.to_vec()].concat());
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1), "{said}");
    let replies = output.stdout.len();
    let first = output
        .stdout
        .first_chunk()
        .map(|length| u32::from_be_bytes(*length) as usize);
    assert_eq!(
        first.map(|length| length + 4),
        Some(replies),
        "one whole reply and no more: {said}"
    );
    let line = said.strip_suffix('\n').filter(|line| !line.contains('\n'));
    let line = line.and_then(|line| line.strip_prefix(PROGRAM)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("one line in the program's name: {said}"))
        .to_owned()
}

#[test]
fn reports_malformed_frames_with_the_byte_position() {
    let text = include_str!("data/malformed_frames.txt");
    assert!(text.lines().count() >= 30);
    for line in text.lines() {
        let [name, digits, message] = *line.split(" | ").collect::<Vec<_>>() else {
            panic!("name, bytes and message: {line}");
        };
        assert_eq!(complaint(&bytes(digits)), message, "{name}");
    }
}

#[test]
fn reports_records_truncated_at_every_byte() {
    let records = named(include_str!("data/records.hex"));
    let text = include_str!("data/truncated_records.txt");
    let mut cuts = 0;
    for line in text.lines() {
        let (cut, message) = line.split_once(": ").expect("a cut and its message");
        let (name, length) = cut.split_once(' ').expect("a name and a length");
        let whole = records
            .iter()
            .find(|(of, _)| of.split(' ').next() == Some(name));
        let (_, whole) = whole.unwrap_or_else(|| panic!("no record is named {name}"));
        let length: usize = length.parse().expect("a length");
        assert_eq!(
            complaint(&frame(1001.0, &whole[..length])),
            message,
            "{cut}"
        );
        cuts += 1;
    }
    let kinds = [
        "PEER_DATA",
        "VANISHED",
        "OPENED",
        "DIRECTORY",
        "POWER_ON",
        "DEADLINE_HIT",
        "HEALTH",
    ];
    let kinds = kinds.iter().chain(&["DETACH", "FLEET", "RETURNED", "ASK"]);
    let length = |name: &&str| {
        let whole = records
            .iter()
            .find(|(of, _)| of.split(' ').next() == Some(*name));
        whole.map_or(0, |(_, bytes)| bytes.len() - 1)
    };
    assert_eq!(
        cuts,
        kinds.map(length).sum::<usize>(),
        "each record is cut after each of its bytes"
    );
}

/// Of settings that can't be meant the place of the record is said, and what is wrong in words of the settings.
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
        let message = complaint(&frame(
            1001.0,
            &[&detach, &head[..], settings.as_bytes()].concat(),
        ));
        assert!(
            message.starts_with("byte 17: ") && message.contains(word),
            "{settings}: {message}"
        );
    }
}
