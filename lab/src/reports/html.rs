//! The HTML page of a run's report.

use super::plot::{BLUE, FaultBand, GREY, ORANGE, Plot, RED, Series};
use crate::history::{Event, EventKind};
use crate::measurements::figures::SecondFigures;
use crate::runs::RunOutcome;
use plotters::style::RGBColor;
use std::fmt::Write as _;

/// The maximum number of violations that the page describes.
const MAX_DESCRIBED_VIOLATIONS: usize = 50;
/// The head of the page, with its styles.
const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
    <title>frostkeel lab</title>\
    <style>body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;color:#222}\
    table{border-collapse:collapse}td,th{padding:2px 12px 2px 0;text-align:right}\
    td:first-child,th:first-child{text-align:left}.bad{color:#b00020}.good{color:#1b6e3c}</style>";

/// Returns the HTML page of a run.
pub(super) fn page(outcome: &RunOutcome) -> String {
    let faults: Vec<FaultBand<'_>> = outcome.events.iter().filter_map(fault_band).collect();
    let mut page = String::from(HEAD);
    page.push_str(&summary(outcome));
    page.push_str(&violations(outcome));
    page.push_str(&service_summary(outcome));
    page.push_str(&class_table(outcome));
    page.push_str(&plots(outcome, &faults));
    page.push_str(&fault_list(&faults));
    page.push_str(&lab_overhead(outcome));
    page
}

pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn summary(outcome: &RunOutcome) -> String {
    let interrupted = if outcome.is_interrupted {
        ", interrupted before its end"
    } else {
        ""
    };
    format!(
        "<h1>{}</h1><p>Seed {}, {:.1} s of load{interrupted}.</p>",
        escape(&outcome.experiment),
        outcome.seed,
        outcome.seconds
    )
}

fn violations(outcome: &RunOutcome) -> String {
    let mut text = match &outcome.void_reason {
        Some(reason) => {
            format!("<p class=bad>This run is void: {}.</p>", escape(reason))
        }
        None if outcome.violations.is_empty() => "<p class=good>No rule was violated.</p>".into(),
        None => format!(
            "<p class=bad>{} violations of rules.</p>",
            outcome.violations.len()
        ),
    };
    text.push_str("<ul>");
    for violation in outcome.violations.iter().take(MAX_DESCRIBED_VIOLATIONS) {
        let description = escape(&violation.description);
        // Writing to a string cannot fail, here and in the rest of this file.
        let _ = write!(text, "<li class=bad>{}: {description}</li>", violation.rule);
    }
    for missed in &outcome.missed_expectations {
        let _ = write!(text, "<li class=bad>{}</li>", escape(missed));
    }
    text.push_str("</ul>");
    text
}

fn service_summary(outcome: &RunOutcome) -> String {
    let figures = &outcome.figures;
    format!(
        "<p>{:.1}% of the requests, by priority weight, were served within their latency \
         objective; latency {:.0} ms (median), {:.0} ms (99th percentile); {:.2} client attempts \
         and {:.2} upstream attempts per request. A balancer used at most {:.1} MB of memory.</p>",
        figures.served_share * 100.0,
        figures.p50_ms,
        figures.p99_ms,
        figures.client_attempts_per_request,
        figures.upstream_attempts_per_request,
        outcome.max_memory_mb
    )
}

fn class_table(outcome: &RunOutcome) -> String {
    let mut table = String::from(
        "<table><tr><th>class<th>requested<th>in time<th>late<th>rejected<th>failed</tr>",
    );
    for class in &outcome.figures.classes {
        let counts = &class.counts;
        let _ = write!(
            table,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(&class.class),
            counts.requested,
            counts.in_time,
            counts.late,
            counts.rejected,
            counts.failed
        );
    }
    table.push_str("</table>");
    table
}

/// Returns a line with one point for each second of a run.
fn series_by_second<'a>(
    name: &'a str,
    color: RGBColor,
    seconds: &[SecondFigures],
    value: fn(&SecondFigures) -> f64,
) -> Series<'a> {
    let points = seconds.iter().enumerate();
    let points = points
        .map(|(index, second)| (index as f64 + 0.5, value(second)))
        .collect();
    Series {
        name,
        points,
        color,
    }
}

fn plots(outcome: &RunOutcome, faults: &[FaultBand<'_>]) -> String {
    let seconds = &outcome.figures.seconds;
    let line = |name, color, value| series_by_second(name, color, seconds, value);
    let requests = [
        line("requested", GREY, |second| {
            f64::from(second.counts.requested)
        }),
        line("in time", BLUE, |second| f64::from(second.counts.in_time)),
        line("rejected", ORANGE, |second| {
            f64::from(second.counts.rejected)
        }),
        line("late or failed", RED, |second| {
            f64::from(second.counts.failed + second.counts.late)
        }),
    ];
    let latencies = [
        line("median", BLUE, |second| second.p50_ms),
        line("99th percentile", RED, |second| second.p99_ms),
    ];
    let utilization = [line("utilization", BLUE, |second| {
        second.utilization * 100.0
    })];
    let mut text = String::new();
    for (title, series) in [
        (
            "Requests by the second in which they were due",
            &requests[..],
        ),
        ("Latency by the second of the response, ms", &latencies[..]),
        ("Mean utilization of the upstreams, %", &utilization[..]),
    ] {
        let plot = Plot {
            series,
            faults,
            x_max: outcome.seconds,
            x_label: "s",
        };
        let _ = write!(
            text,
            "<h2>{title}</h2><p>{}</p>{}",
            legend(series),
            plot.svg()
        );
    }
    text
}

fn legend(series: &[Series<'_>]) -> String {
    let name = |series: &Series<'_>| {
        let RGBColor(r, g, b) = series.color;
        format!(
            "<b style=\"color:rgb({r},{g},{b})\">{}</b> &nbsp; ",
            series.name
        )
    };
    series.iter().map(name).collect()
}

fn fault_band(event: &Event) -> Option<FaultBand<'_>> {
    let EventKind::FaultStarted {
        description,
        duration_s,
    } = &event.kind
    else {
        return None;
    };
    let start_s = event.at_us as f64 / 1e6;
    Some(FaultBand {
        start_s,
        end_s: duration_s.map(|duration| start_s + duration),
        description,
    })
}

fn fault_list(faults: &[FaultBand<'_>]) -> String {
    let mut list = String::from("<h2>Faults</h2><ul>");
    for fault in faults {
        let _ = write!(
            list,
            "<li>{:.1} s: {}</li>",
            fault.start_s,
            escape(fault.description)
        );
    }
    list.push_str("</ul>");
    list
}

fn lab_overhead(outcome: &RunOutcome) -> String {
    let lab = &outcome.lab;
    format!(
        "<p>The lab sent requests {:.1} ms (median), {:.1} ms (99th percentile) and at most {:.1} \
         ms late, and used {:.2} cores.</p></html>",
        lab.late_p50_ms, lab.late_p99_ms, lab.late_max_ms, lab.cores
    )
}
