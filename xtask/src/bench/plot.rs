//! SVG line charts with one line for each subject.

use std::path::Path;

use plotters::prelude::*;

use crate::Error;

const WIDTH: u32 = 760;
const HEIGHT: u32 = 420;

/// Data points of one subject.
#[derive(Debug, Clone, PartialEq)]
pub struct Line<'a> {
    /// Label of the line in the legend.
    pub subject: &'a str,
    /// Pairs of size and value, sorted by size.
    pub points: Vec<(f64, f64)>,
}

/// Draws `lines` as a chart in the SVG file `path`.
///
/// # Errors
///
/// Returns an [`Error`] if the chart cannot be drawn or written.
pub fn draw(
    path: &Path,
    title: &str,
    axis: &str,
    unit: &str,
    lines: &[Line<'_>],
) -> Result<(), Error> {
    let to_error = |e: &dyn std::error::Error| Error::Content(path.to_owned(), e.to_string());
    draw_chart(path, title, axis, unit, lines).map_err(|e| to_error(e.as_ref()))
}

fn draw_chart(
    path: &Path,
    title: &str,
    axis: &str,
    unit: &str,
    lines: &[Line<'_>],
) -> Result<(), Box<dyn std::error::Error>> {
    let all_points = || lines.iter().flat_map(|line| &line.points);
    let max_size = all_points().map(|(size, _)| *size).fold(0.0, f64::max);
    let max_value = all_points().map(|(_, value)| *value).fold(0.0, f64::max);
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(
            0.0..max_size.max(1.0) * 1.02,
            0.0..max_value.max(1e-9) * 1.1,
        )?;
    chart.configure_mesh().x_desc(axis).y_desc(unit).draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = || line.points.iter().copied();
        chart
            .draw_series(LineSeries::new(points(), &color))?
            .label(line.subject)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dot = |point| Circle::new(point, 3, color.filled());
        chart.draw_series(points().map(dot))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
