//! Checks that `docs/OPERATIONS.md` and the code match: every event that the code can log is on the page, and every
//! name on the page is in the code.

#![expect(
    clippy::expect_used,
    reason = "a test fails if its own data is invalid"
)]

mod architecture;
mod logging_calls;
mod page;

use frostkeel_balancer::request_counters::RequestCounters;
use frostkeel_policy::{
    Balancer, Class, ClassId, FailureReason, Outcome, Settings, StalenessCause,
};
use logging_calls::{
    Events, event_of, events_in_code, level_named, logging_calls, macro_arguments, sources,
};
use page::{is_repository_path, names_in_tables, page, root, rows, section, texts_in_backticks};
use std::collections::BTreeSet;
use std::time::Duration;

/// The source folders of the balancer, which includes the decision module.
const BALANCER_SOURCES: [&str; 2] = ["balancer/src", "src"];
/// The source folders of the registry and the command line.
const REGISTRY_SOURCES: [&str; 2] = ["registry/src", "frostkeel/src"];
/// The number of columns in a table of events.
const EVENT_COLUMN_COUNT: usize = 6;

/// Returns the events that a section of the page describes.
fn events_on_page(section: &str) -> Events {
    let mut events = Events::new();
    for row in rows(section) {
        assert_eq!(row.len(), EVENT_COLUMN_COUNT, "{row:?}");
        assert!(
            row.iter().all(|cell| !cell.is_empty()),
            "an empty cell: {row:?}"
        );
        let name = texts_in_backticks(row[0]).remove(0);
        let fields = texts_in_backticks(row[2]).into_iter().collect();
        let previous = events.insert((name, level_named(row[1])), fields);
        assert!(previous.is_none(), "an event is on the page twice: {row:?}");
    }
    events
}

/// Fails unless a section describes exactly the events that the sources in these folders can log.
fn assert_page_matches(heading: &str, folders: &[&str]) {
    let text = page("OPERATIONS.md");
    let (described, code) = (
        events_on_page(section(&text, heading)),
        events_in_code(folders),
    );
    let missing: Vec<_> = code
        .iter()
        .filter(|(k, v)| described.get(*k) != Some(*v))
        .collect();
    let stale: Vec<_> = described
        .iter()
        .filter(|(k, v)| code.get(*k) != Some(*v))
        .collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "{heading:?} of docs/OPERATIONS.md differs from the code\nlogged: {missing:#?}\non the page: {stale:#?}"
    );
}

#[test]
fn page_describes_each_event_of_the_balancer() {
    assert_page_matches("## Balancer events", &BALANCER_SOURCES);
}

#[test]
fn page_describes_each_event_of_the_registry_and_the_agent() {
    assert_page_matches("## Registry and agent events", &REGISTRY_SOURCES);
}

#[test]
fn page_describes_each_failure_reason() {
    let text = page("OPERATIONS.md");
    let reasons = FailureReason::ALL
        .iter()
        .map(|reason| reason.as_str().to_owned());
    assert_eq!(
        names_in_tables(section(&text, "## Reasons")),
        reasons.collect()
    );
}

/// Returns counters of one class, `c`, all of which are above zero.
fn counters_above_zero() -> RequestCounters {
    let settings = r#"{"classes": [{"name": "c", "aim_ms": 100}]}"#;
    let site = frostkeel_settings::parse(settings).expect("valid settings");
    let (mut counters, class) = (RequestCounters::new(&site), ClassId(0));
    counters.count_received(class);
    counters.count_forwarded(class, Duration::ZERO);
    counters.count_forwarded(class, Duration::from_secs(1));
    counters.count_client_disconnected(class);
    counters.count_attempt(class, Outcome::Error);
    for reason in FailureReason::ALL {
        counters.count_failed(class, reason);
    }
    counters
}

#[test]
fn page_describes_each_request_counter() {
    let text = page("OPERATIONS.md");
    let mut described = names_in_tables(section(&text, "### Request counters"));
    described.extend(names_in_tables(section(&text, "## Reasons")));
    let shown = counters_above_zero().to_string();
    let counters = shown.strip_prefix("c: ").expect("the class").split(", ");
    let names = counters.map(|counter| counter.split_once(' ').expect("a name and a number").0);
    assert_eq!(described, names.map(str::to_owned).collect());
}

#[test]
fn page_describes_each_cause_of_a_send_pause() {
    let text = page("OPERATIONS.md");
    let described = names_in_tables(section(&text, "## Causes of a pause"));
    let causes = StalenessCause::ALL.map(|cause| cause.as_str().to_owned());
    assert_eq!(described, BTreeSet::from(causes));
}

/// Returns the names of a struct's fields from its `Debug` text. The struct must not contain other structs.
fn field_names(debug: &str) -> BTreeSet<String> {
    let fields = debug.split_once('{').expect("a struct with fields").1;
    let named = fields.trim_end_matches([' ', '}']).split(", ");
    named
        .map(|field| {
            field
                .split_once(':')
                .expect("a field has a name")
                .0
                .trim()
                .to_owned()
        })
        .collect()
}

#[test]
fn page_describes_each_field_of_the_status_line() {
    let text = page("OPERATIONS.md");
    let described = names_in_tables(section(&text, "### Status fields"));
    let events = events_in_code(&BALANCER_SOURCES);
    let logged = &events[&("status".to_owned(), "info")];
    assert_eq!(&described, logged);
    let classes = vec![Class::default()];
    let settings = Settings {
        classes,
        ..Settings::default()
    };
    let balancer = Balancer::new(settings, 1).expect("valid settings");
    let snapshot = field_names(&format!("{:?}", balancer.status()));
    assert!(
        snapshot.is_subset(logged),
        "{snapshot:?} are not all logged: {logged:?}"
    );
}

#[test]
fn page_describes_each_metric_of_the_registry() {
    const CALL: &str = "registry.register(";
    let code = sources(&["registry/src"]).concat();
    let calls = code.match_indices(CALL).map(|(at, _)| {
        let arguments = macro_arguments(&code[at + CALL.len()..]);
        arguments[0].trim_matches('"').to_owned()
    });
    let text = page("OPERATIONS.md");
    let described = names_in_tables(section(&text, "## Registry metrics"));
    assert_eq!(described, calls.collect());
}

/// Converts a name on the page to its form in the code, where the command-line option `--a-b` is the field `a_b`.
fn as_in_code(name: &str) -> String {
    match name.strip_prefix("--") {
        Some(option) => option.replace('-', "_"),
        None => name.to_owned(),
    }
}

#[test]
fn each_name_on_the_operations_page_is_in_the_code() {
    let text = page("OPERATIONS.md");
    let mut folders = [BALANCER_SOURCES, REGISTRY_SOURCES].concat();
    folders.extend(["membership/src", "settings/src"]);
    let code = sources(&folders).concat();
    let is_identifier_char = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let identifiers: BTreeSet<&str> = code.split(|c| !is_identifier_char(c)).collect();
    for name in texts_in_backticks(&text) {
        if is_repository_path(&name) {
            assert!(root().join(&name).exists(), "{name:?} does not exist");
            continue;
        }
        let name = as_in_code(&name);
        let unknown = name
            .split(|c| !is_identifier_char(c))
            .find(|word| !identifiers.contains(word));
        assert_eq!(
            unknown, None,
            "{name:?} on docs/OPERATIONS.md is not in the code"
        );
    }
}

#[test]
fn logging_call_is_parsed_into_its_event_and_fields() {
    let source = r#"warn!(watch = number, ?error, %list.rev, "a, (b) \"c\"", x); my_warn!("no")"#;
    let calls = logging_calls(source);
    assert_eq!(calls.len(), 1);
    let (name, fields) = event_of(&calls[0].1);
    assert_eq!(name, r#"a, (b) \"c\"#);
    assert_eq!(
        fields.into_iter().collect::<Vec<_>>(),
        ["error", "list.rev", "watch"]
    );
}
