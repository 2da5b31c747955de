//! A plot over the sizes of simulated fleets.

use super::plot::{BLUE, GREY, ORANGE, Plot, RED, Series};
use crate::runs::simulation::SimulationOutcome;
use plotters::style::RGBColor;

/// How soon departures are detected, and what each member sends, over the sizes of simulated
/// fleets.
pub fn size_plot(outcomes: &[SimulationOutcome]) -> String {
    let size = |outcome: &SimulationOutcome| f64::from(outcome.members).log10();
    let series = |name, color, value: fn(&SimulationOutcome) -> f64| Series {
        name,
        color,
        points: outcomes
            .iter()
            .map(|outcome| (size(outcome), value(outcome)))
            .collect(),
    };
    let series = [
        series("known to 99%, s, median", BLUE, |outcome| {
            outcome.figures.detection_p50_s
        }),
        series("known to 99%, s, 99th percentile", RED, |outcome| {
            outcome.figures.detection_p99_s
        }),
        series("datagrams a second", GREY, |outcome| {
            outcome.datagrams_per_s
        }),
        series("KB a second", ORANGE, |outcome| {
            outcome.bytes_per_s / 1000.0
        }),
    ];
    let right = outcomes.iter().map(size).fold(1.0, f64::max);
    let plot = Plot {
        series: &series,
        faults: &[],
        right,
        x_label: "members, as a power of 10",
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
