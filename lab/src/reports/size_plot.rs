//! A plot of the figures of simulated fleets by fleet size.

use super::plot::{BLUE, GREY, ORANGE, Plot, RED, Series};
use crate::runs::simulation::SimulationOutcome;
use plotters::style::RGBColor;

/// Plots the time until departures are detected, and the traffic that each member sends, by the
/// size of the simulated fleet. Returns the plot as SVG.
pub fn size_plot(outcomes: &[SimulationOutcome]) -> String {
    let size = |outcome: &SimulationOutcome| f64::from(outcome.member_count).log10();
    let series = |name, color, value: fn(&SimulationOutcome) -> f64| Series {
        name,
        color,
        points: outcomes
            .iter()
            .map(|outcome| (size(outcome), value(outcome)))
            .collect(),
    };
    let series = [
        series("detection by 99% of members, s (median)", BLUE, |outcome| {
            outcome.figures.detection_p50_s
        }),
        series(
            "detection by 99% of members, s (99th percentile)",
            RED,
            |outcome| outcome.figures.detection_p99_s,
        ),
        series("datagrams per second and member", GREY, |outcome| {
            outcome.datagrams_per_s
        }),
        series("KB per second and member", ORANGE, |outcome| {
            outcome.bytes_per_s / 1000.0
        }),
    ];
    let x_max = outcomes.iter().map(size).fold(1.0, f64::max);
    let plot = Plot {
        series: &series,
        faults: &[],
        x_max,
        x_label: "log10 of the number of members",
    };
    plot.svg().replace("</svg>", &(legend(&series) + "</svg>"))
}

fn legend(series: &[Series<'_>]) -> String {
    let line = |(row, series): (usize, &Series<'_>)| {
        let RGBColor(r, g, b) = series.color;
        format!(
            "<text x=\"70\" y=\"{}\" font-size=\"12\" fill=\"rgb({r},{g},{b})\">{}</text>",
            20 + 14 * row,
            series.name
        )
    };
    series.iter().enumerate().map(line).collect()
}
