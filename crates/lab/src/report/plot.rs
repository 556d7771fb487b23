//! Plots of runs over time, as SVG text.

use error_stack::{Report, ResultExt as _};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea as _, LineSeries, PathElement, RGBColor, SVGBackend,
    SeriesLabelPosition, WHITE,
};

use crate::LabError;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 320);

/// Space of the axes' labels, in pixels.
const LABEL_SPACE: u32 = 48;

/// Colours of the lines, in turn.
const COLOURS: [RGBColor; 6] = [
    RGBColor(127, 127, 127),
    RGBColor(188, 143, 143),
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
];

/// One line: a value for each interval.
pub(crate) struct Line {
    /// What it shows.
    pub(crate) name: String,
    /// The values.
    pub(crate) values: Vec<f64>,
}

/// Draws lines over time.
pub(crate) fn draw(
    title: &str,
    interval_s: f64,
    lines: &[Line],
) -> Result<String, Report<LabError>> {
    let mut svg = String::new();
    let failed = || LabError::Failed(format!("the plot {title} cannot be drawn"));
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
    let longest = lines
        .iter()
        .map(|line| line.values.len())
        .max()
        .unwrap_or(0);
    let all = lines.iter().flat_map(|line| &line.values);
    let highest = all.copied().fold(1.0, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(LABEL_SPACE)
        .y_label_area_size(LABEL_SPACE)
        .build_cartesian_2d(0.0..longest as f64 * interval_s, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let points = line.values.iter().enumerate();
        let points = points.map(|(place, value)| (place as f64 * interval_s, *value));
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
