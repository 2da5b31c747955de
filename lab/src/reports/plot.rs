//! Line plots, drawn as SVG.

use super::html::escape;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

pub(super) const GREY: RGBColor = RGBColor(150, 150, 150);
pub(super) const BLUE: RGBColor = RGBColor(31, 95, 180);
pub(super) const ORANGE: RGBColor = RGBColor(225, 130, 20);
pub(super) const RED: RGBColor = RGBColor(190, 20, 50);

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (860, 240);
/// The upper end of the y axis, as a multiple of the highest value (at least 1).
const HEADROOM: f64 = 1.08;
/// Width of the mark at the start of a fault, as a fraction of the x axis.
const START_MARK_FRACTION: f64 = 0.004;
const START_MARK_OPACITY: f64 = 0.35;
const DURATION_OPACITY: f64 = 0.10;

/// A line of a plot, with its name and color.
pub(super) struct Series<'a> {
    pub name: &'a str,
    /// Points of the line, as x and y.
    pub points: Vec<(f64, f64)>,
    pub color: RGBColor,
}

/// The period of a fault on the x axis, in seconds since the start of the load; `end_s` is `None`
/// if the fault has no fixed duration.
pub(super) struct FaultBand<'a> {
    pub start_s: f64,
    pub end_s: Option<f64>,
    pub description: &'a str,
}

/// A plot that could not be drawn, with the reason.
#[derive(Debug, Error)]
#[error("{0}")]
struct DrawError(String);

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for DrawError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self(error.to_string())
    }
}

/// The content of a plot: lines, and faults as colored bands.
pub(super) struct Plot<'a> {
    pub series: &'a [Series<'a>],
    pub faults: &'a [FaultBand<'a>],
    /// Upper end of the x axis; a value below 1 counts as 1.
    pub x_max: f64,
    pub x_label: &'a str,
}

impl Plot<'_> {
    /// Returns the plot as SVG, or an HTML paragraph with the reason why it cannot be drawn.
    pub fn svg(&self) -> String {
        let mut svg = String::new();
        let drawn = self.draw(SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area());
        match drawn {
            Ok(()) => svg,
            Err(e) => format!(
                "<p class=bad>the plot could not be drawn: {}</p>",
                escape(&e.to_string())
            ),
        }
    }

    fn y_max(&self) -> f64 {
        let heights = self
            .series
            .iter()
            .flat_map(|series| &series.points)
            .map(|point| point.1);
        heights.fold(1.0, f64::max) * HEADROOM
    }

    fn draw(&self, area: DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), DrawError> {
        let (x_max, y_max) = (self.x_max.max(1.0), self.y_max());
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc(self.x_label)
            .draw()?;
        for fault in self.faults {
            // The mark at the start is darker than the band, so that overlapping faults are
            // distinguishable.
            let mark = [
                (fault.start_s, 0.0),
                (fault.start_s + x_max * START_MARK_FRACTION, y_max),
            ];
            let mark = Rectangle::new(mark, RED.mix(START_MARK_OPACITY).filled());
            chart.draw_series([mark])?;
            if let Some(end) = fault.end_s {
                let duration = [(fault.start_s, 0.0), (end.min(x_max), y_max)];
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
