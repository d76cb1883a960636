//! Plots of goodput over time.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use super::measure::BIN_US;
use super::report::{RunGroup, median};
use super::scenario::US_PER_S;

/// Number of bins on each side that are averaged into a point.
const SMOOTHING_BINS: usize = 1;

/// Answers on time per second by time of arrival: the median over the seeds, averaged over
/// neighbouring bins.
fn points(group: &RunGroup<'_>) -> Vec<(f64, f64)> {
    let bins = group.outcomes[0].bins.len();
    let seconds = BIN_US as f64 / US_PER_S as f64;
    let raw: Vec<f64> = (0..bins)
        .map(|i| {
            median(
                group
                    .outcomes
                    .iter()
                    .map(|o| f64::from(o.bins[i].on_time) / seconds),
            )
        })
        .collect();
    let smooth = |i: usize| {
        let near = &raw[i.saturating_sub(SMOOTHING_BINS)..(i + SMOOTHING_BINS + 1).min(bins)];
        near.iter().sum::<f64>() / near.len() as f64
    };
    (0..bins).map(|i| (i as f64 * seconds, smooth(i))).collect()
}

/// Plots the run groups of one scenario to an SVG file.
pub fn goodput(
    path: &Path,
    title: &str,
    groups: &[&RunGroup<'_>],
) -> Result<(), Box<dyn std::error::Error>> {
    let series: Vec<(String, Vec<(f64, f64)>)> = groups
        .iter()
        .map(|group| (group.runs[0].policy.label(), points(group)))
        .collect();
    let all = || series.iter().flat_map(|(_, points)| points);
    let end_s = all().map(|point| point.0).fold(0.0, f64::max);
    let top = all().map(|point| point.1).fold(0.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, (960, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("answers on time a second")
        .draw()?;
    for (i, (label, points)) in series.into_iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
