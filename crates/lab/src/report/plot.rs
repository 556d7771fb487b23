//! SVG plots of runs over time.

use error_stack::{Report, ResultExt as _};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea as _, LineSeries, PathElement, RGBColor, SVGBackend,
    SeriesLabelPosition, WHITE,
};

use crate::LabError;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 320);

/// Space for the axis labels in pixels.
const LABEL_SPACE: u32 = 48;

/// Colours of the lines, used in turn.
const COLOURS: [RGBColor; 6] = [
    RGBColor(127, 127, 127),
    RGBColor(188, 143, 143),
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
];

/// A line with one value per interval.
pub(crate) struct Line {
    /// Name in the legend.
    pub(crate) name: String,
    /// Values by interval.
    pub(crate) values: Vec<f64>,
}

/// Draws lines over time; returns an SVG document.
pub(crate) fn draw(
    title: &str,
    interval_s: f64,
    lines: &[Line],
) -> Result<String, Report<LabError>> {
    let mut svg = String::new();
    let failed = || LabError::Failed(format!("cannot draw the plot {title}"));
    draw_into(&mut svg, title, interval_s, lines)
        .map_err(|error| LabError::Failed(error.to_string()))
        .change_context_lazy(failed)?;
    Ok(svg)
}

fn draw_into(
    svg: &mut String,
    title: &str,
    interval_s: f64,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let interval_count = lines
        .iter()
        .map(|line| line.values.len())
        .max()
        .unwrap_or(0);
    let all = lines.iter().flat_map(|line| &line.values);
    let max_value = all.copied().fold(1.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_SPACE)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(
            0.0..interval_count as f64 * interval_s,
            0.0..max_value * 1.1,
        )?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let points = line.values.iter().enumerate();
        let points = points.map(|(index, value)| (index as f64 * interval_s, *value));
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(&*line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    drop(chart);
    Ok(())
}
