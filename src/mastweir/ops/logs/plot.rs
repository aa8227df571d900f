//! Draws a report as an SVG chart: how requests ended in each second, and below that the
//! longest pass, the skew of expert load and the expert map changes.

use super::report::{Report, Second};
use eyre::eyre;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};
use std::path::Path;

/// Width and height in pixels.
const SIZE: (u32, u32) = (1_100, 700);
const LATE: RGBColor = RGBColor(230, 150, 0);

#[derive(Clone, Copy, Debug)]
pub struct PlotOptions<'a> {
    /// The SVG file; overwritten if it exists.
    pub file: &'a Path,
}

/// A series of the chart: its label, its color, and its value in a second.
type Series = (&'static str, RGBColor, fn(&Second) -> f64);

/// Draws a report to an SVG file.
///
/// # Errors
///
/// The report counts no requests or events, or the file can't be written.
pub fn plot(report: &Report, options: PlotOptions<'_>) -> eyre::Result<()> {
    let first = *report.seconds.keys().next().ok_or_else(|| eyre!("nothing to draw"))?;
    let last = *report.seconds.keys().next_back().unwrap_or(&first) + 1;
    let area = SVGBackend::new(options.file, SIZE).into_drawing_area();
    let failed = |error: &dyn std::fmt::Display| {
        eyre!("drawing {}: {error}; check that it can be written", options.file.display())
    };
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let (upper, lower) = area.split_vertically(SIZE.1 * 6 / 10);
    let outcomes: [Series; 4] = [
        ("in time", GREEN, |second| f64::from(second.served)),
        ("late", LATE, |second| f64::from(second.late)),
        ("refused", BLUE, |second| f64::from(second.refused)),
        ("failed", RED, |second| f64::from(second.failed)),
    ];
    let group: [Series; 3] = [
        ("longest pass, ms", BLACK, |second| second.pass_ms as f64),
        ("skew, hundredths", BLUE, |second| second.skew_milli as f64 / 10.0),
        ("maps in force, tens", GREEN, |second| f64::from(second.maps) * 10.0),
    ];
    let charts: [(_, &str, &[Series]); 2] =
        [(&upper, "requests a second", &outcomes), (&lower, "groups", &group)];
    for (area, title, series) in charts {
        let values = report.seconds.values();
        let top = values.flat_map(|second| series.iter().map(move |(.., value)| value(second)));
        let top = top.fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(first..last, 0.0..top)
            .map_err(|error| failed(&error))?;
        chart.configure_mesh().x_desc("s").draw().map_err(|error| failed(&error))?;
        for (name, color, value) in series {
            let color = *color;
            let points = report.seconds.iter().map(|(at, second)| (*at, value(second)));
            chart
                .draw_series(LineSeries::new(points, color))
                .map_err(|error| failed(&error))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
        }
        let mut labels = chart.configure_series_labels();
        labels
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
