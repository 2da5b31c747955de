//! The report of a play: its events as JSON lines, one result in JSON, and one page that holds its own plots.

use crate::history::{Event, What};
use crate::runs::experiment_run::Played;
use crate::runs::simulation::Simulated;
use plotters::prelude::*;
use std::fmt::Write as _;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (860, 240);

/// Writes all three into a folder; returns the page's path.
pub fn write(played: &Played, dir: &Path) -> io::Result<PathBuf> {
    let mut lines = BufWriter::new(std::fs::File::create(dir.join("events.jsonl"))?);
    for event in &played.events {
        serde_json::to_writer(&mut lines, event)?;
        lines.write_all(b"\n")?;
    }
    lines.flush()?;
    std::fs::write(
        dir.join("result.json"),
        serde_json::to_string_pretty(played)?,
    )?;
    let page = dir.join("report.html");
    std::fs::write(&page, html(played))?;
    Ok(page)
}

/// The page.
pub fn html(played: &Played) -> String {
    let f = &played.figures;
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>frostkeel lab</title>\
         <style>body{font:15px/1.45 system-ui,sans-serif;max-width:900px;margin:2em auto;color:#222}\
         table{border-collapse:collapse}td,th{padding:2px 12px 2px 0;text-align:right}\
         td:first-child,th:first-child{text-align:left}.bad{color:#b00020}.good{color:#1b6e3c}</style>",
    );
    let title = escaped(&played.experiment);
    // Writing to a string cannot fail.
    let _ = write!(
        page,
        "<h1>{title}</h1><p>Seed {}, {:.1} s of load",
        played.seed, played.seconds
    );
    let _ = write!(
        page,
        "{}.</p>",
        if played.cut_short {
            ", ended before its time"
        } else {
            ""
        }
    );
    match &played.void {
        Some(why) => drop(write!(
            page,
            "<p class=bad>This play counts for nothing: {}.</p>",
            escaped(why)
        )),
        None if played.broken.is_empty() => page.push_str("<p class=good>All rules kept.</p>"),
        None => drop(write!(
            page,
            "<p class=bad>{} breaches of the rules.</p>",
            played.broken.len()
        )),
    }
    page.push_str("<ul>");
    for broken in played.broken.iter().take(50) {
        let _ = write!(
            page,
            "<li class=bad>{:?}: {}</li>",
            broken.rule,
            escaped(&broken.text)
        );
    }
    for missed in &played.missed {
        let _ = write!(page, "<li class=bad>{}</li>", escaped(missed));
    }
    page.push_str("</ul>");
    let _ = write!(
        page,
        "<p>Served {:.1}% of the worth in time; answers take {:.0} ms (median), {:.0} ms (99th percentile); \
         {:.2} tries and {:.2} attempts a request. A balancer took {:.1} MB at most.</p>",
        f.served * 100.0,
        f.p50_ms,
        f.p99_ms,
        f.tries,
        f.attempts,
        played.memory_mb
    );
    page.push_str("<table><tr><th>class<th>asked<th>in time<th>late<th>refused<th>failed</tr>");
    for class in &f.classes {
        let c = &class.counts;
        let name = escaped(&class.class);
        let _ = write!(
            page,
            "<tr><td>{name}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            c.asked, c.in_time, c.late, c.refused, c.failed
        );
    }
    page.push_str("</table>");
    let faults: Vec<Band<'_>> = played.events.iter().filter_map(fault).collect();
    let seconds = |of: &dyn Fn(&crate::measurements::figures::Second) -> f64| -> Vec<(f64, f64)> {
        f.seconds
            .iter()
            .enumerate()
            .map(|(k, s)| (k as f64 + 0.5, of(s)))
            .collect()
    };
    let asked = seconds(&|s| f64::from(s.counts.asked));
    let in_time = seconds(&|s| f64::from(s.counts.in_time));
    let refused = seconds(&|s| f64::from(s.counts.refused));
    let lost = seconds(&|s| f64::from(s.counts.failed + s.counts.late));
    let (p50, p99) = (seconds(&|s| s.p50_ms), seconds(&|s| s.p99_ms));
    let util = seconds(&|s| s.util * 100.0);
    for (title, series) in [
        (
            "Requests by the second of their first try",
            vec![
                ("asked", asked, GREY),
                ("in time", in_time, BLUE),
                ("refused", refused, ORANGE),
                ("late or failed", lost, RED),
            ],
        ),
        (
            "Time to the answer, ms",
            vec![("median", p50, BLUE), ("99th percentile", p99, RED)],
        ),
        (
            "Upstreams' cores in use, % (mean)",
            vec![("in use", util, BLUE)],
        ),
    ] {
        let _ = write!(page, "<h2>{title}</h2><p>");
        for (name, _, RGBColor(r, g, b)) in &series {
            let _ = write!(
                page,
                "<b style=\"color:rgb({r},{g},{b})\">{name}</b> &nbsp; "
            );
        }
        page.push_str("</p>");
        page.push_str(&plot(&series, &faults, played.seconds, "s"));
    }
    page.push_str("<h2>Faults</h2><ul>");
    for Band { at, text, .. } in &faults {
        let _ = write!(page, "<li>{at:.1} s: {}</li>", escaped(text));
    }
    let lab = &played.lab;
    let _ = write!(
        page,
        "</ul><p>The lab itself sent {:.1} ms late (median), {:.1} ms (99th percentile), {:.1} ms at most, and \
         took {:.2} cores.</p></html>",
        lab.late_p50_ms, lab.late_p99_ms, lab.late_max_ms, lab.cores
    );
    page
}

/// A plot over the sizes of simulated fleets: how soon deaths are known, and what each member sends.
pub fn over_sizes(all: &[Simulated]) -> String {
    let of = |pick: &dyn Fn(&Simulated) -> f64| -> Vec<(f64, f64)> {
        all.iter()
            .map(|one| (f64::from(one.members).log10(), pick(one)))
            .collect()
    };
    let series = [
        (
            "known to 99%, s, median",
            of(&|s| s.figures.known_p50_s),
            BLUE,
        ),
        (
            "known to 99%, s, 99th percentile",
            of(&|s| s.figures.known_p99_s),
            RED,
        ),
        ("datagrams a second", of(&|s| s.datagrams), GREY),
        ("KB a second", of(&|s| s.bytes / 1000.0), ORANGE),
    ];
    let right = all
        .iter()
        .map(|one| f64::from(one.members).log10())
        .fold(1.0, f64::max);
    let svg = plot(&series, &[], right, "members, as a power of 10");
    let legend = series
        .iter()
        .enumerate()
        .map(|(k, (name, _, RGBColor(r, g, b)))| {
            format!(
                "<text x=\"70\" y=\"{}\" font-size=\"12\" fill=\"rgb({r},{g},{b})\">{name}</text>",
                20 + 14 * k
            )
        });
    svg.replace("</svg>", &(legend.collect::<String>() + "</svg>"))
}

const GREY: RGBColor = RGBColor(150, 150, 150);
const BLUE: RGBColor = RGBColor(31, 95, 180);
const ORANGE: RGBColor = RGBColor(225, 130, 20);
const RED: RGBColor = RGBColor(190, 20, 50);

/// A fault, from when to when, in seconds.
struct Band<'a> {
    at: f64,
    until: Option<f64>,
    text: &'a str,
}

fn fault(event: &Event) -> Option<Band<'_>> {
    let What::Fault { text, lasts } = &event.what else {
        return None;
    };
    let at = event.at as f64 / 1e6;
    Some(Band {
        at,
        until: lasts.map(|lasts| at + lasts),
        text,
    })
}

type Series<'a> = (&'a str, Vec<(f64, f64)>, RGBColor);

/// One plot as SVG; what can't be drawn says why.
fn plot(series: &[Series<'_>], faults: &[Band<'_>], right: f64, along: &str) -> String {
    let mut svg = String::new();
    let top = series
        .iter()
        .flat_map(|s| &s.1)
        .map(|p| p.1)
        .fold(1.0, f64::max)
        * 1.08;
    let drawn = draw(&mut svg, series, faults, (right.max(1.0), top), along);
    drawn.map_or_else(
        |e| format!("<p class=bad>no plot: {}</p>", escaped(&e)),
        |()| svg,
    )
}

fn draw(
    svg: &mut String,
    series: &[Series<'_>],
    faults: &[Band<'_>],
    (right, top): (f64, f64),
    along: &str,
) -> Result<(), String> {
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|e| said(&e))?;
    chart
        .configure_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc(along)
        .draw()
        .map_err(|e| said(&e))?;
    for Band { at, until, .. } in faults {
        // Its beginning darker than the rest, so that those that overlap can be told apart.
        let begins = ([(*at, 0.0), (at + right * 0.004, top)], 0.35);
        let lasts = until.map(|until| ([(*at, 0.0), (until.min(right), top)], 0.10));
        for (corners, shade) in [Some(begins), lasts].into_iter().flatten() {
            chart
                .draw_series([Rectangle::new(corners, RED.mix(shade).filled())])
                .map_err(|e| said(&e))?;
        }
    }
    for (_, points, color) in series {
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart.draw_series(line).map_err(|e| said(&e))?;
    }
    root.present().map_err(|e| said(&e))
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
