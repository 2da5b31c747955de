//! Line plots as SVG.

use super::html::escape;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

pub(super) const GREY: RGBColor = RGBColor(150, 150, 150);
pub(super) const BLUE: RGBColor = RGBColor(31, 95, 180);
pub(super) const ORANGE: RGBColor = RGBColor(225, 130, 20);
pub(super) const RED: RGBColor = RGBColor(190, 20, 50);

/// Width and height in pixels.
const SIZE: (u32, u32) = (860, 240);
/// Space above the highest point, as a factor.
const HEADROOM: f64 = 1.08;
/// Width of the mark at the start of a fault, as a share of the plot.
const START_MARK_SHARE: f64 = 0.004;
const START_MARK_OPACITY: f64 = 0.35;
const DURATION_OPACITY: f64 = 0.10;

/// A line of a plot.
pub(super) struct Series<'a> {
    pub name: &'a str,
    /// x and y.
    pub points: Vec<(f64, f64)>,
    pub color: RGBColor,
}

/// A fault, from when to when, in seconds.
pub(super) struct FaultBand<'a> {
    pub start: f64,
    pub end: Option<f64>,
    pub description: &'a str,
}

/// A plot that cannot be drawn.
#[derive(Debug, Error)]
#[error("{0}")]
struct DrawError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for DrawError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self(error.to_string())
    }
}

/// What a plot shows.
pub(super) struct Plot<'a> {
    pub series: &'a [Series<'a>],
    pub faults: &'a [FaultBand<'a>],
    /// The right end of the x axis.
    pub right: f64,
    pub x_label: &'a str,
}

impl Plot<'_> {
    /// The plot as SVG, or the reason why it cannot be drawn.
    pub fn svg(&self) -> String {
        let mut svg = String::new();
        let drawn = self.draw(SVGBackend::with_string(&mut svg, SIZE).into_drawing_area());
        match drawn {
            Ok(()) => svg,
            Err(e) => format!("<p class=bad>no plot: {}</p>", escape(&e.to_string())),
        }
    }

    fn top(&self) -> f64 {
        let heights = self
            .series
            .iter()
            .flat_map(|series| &series.points)
            .map(|point| point.1);
        heights.fold(1.0, f64::max) * HEADROOM
    }

    fn draw(&self, area: DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), DrawError> {
        let (right, top) = (self.right.max(1.0), self.top());
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc(self.x_label)
            .draw()?;
        for fault in self.faults {
            // The start is darker than the rest, so that overlapping faults are distinguishable.
            let mark = [
                (fault.start, 0.0),
                (fault.start + right * START_MARK_SHARE, top),
            ];
            let mark = Rectangle::new(mark, RED.mix(START_MARK_OPACITY).filled());
            chart.draw_series([mark])?;
            if let Some(end) = fault.end {
                let duration = [(fault.start, 0.0), (end.min(right), top)];
                let duration = Rectangle::new(duration, RED.mix(DURATION_OPACITY).filled());
                chart.draw_series([duration])?;
            }
        }
        for series in self.series {
            let points = series.points.iter().copied();
            chart.draw_series(LineSeries::new(points, series.color.stroke_width(2)))?;
        }
        area.present()?;
        Ok(())
    }
}
