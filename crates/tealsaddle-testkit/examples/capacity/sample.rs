//! Samples of a quantity, and the line through them.

use std::time::Instant;

/// Rounds of which the best time counts; the others were disturbed.
const ROUNDS: u32 = 7;

/// A quantity that grows with a size.
#[derive(Debug)]
pub struct Quantity {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Size and value.
    pub samples: Vec<(usize, f64)>,
    /// The size to design for.
    pub design_size: usize,
}

impl Quantity {
    /// Measures a quantity at several sizes.
    pub fn measure<F>(
        (name, size_of, unit): (&'static str, &'static str, &'static str),
        design_size: usize,
        sizes: &[usize],
        value: F,
    ) -> Self
    where
        F: Fn(usize) -> f64,
    {
        let samples = sizes.iter().map(|size| (*size, value(*size))).collect();
        Self {
            name,
            size_of,
            unit,
            samples,
            design_size,
        }
    }

    /// Slope and value at size 0 of the line with the least squares.
    pub fn line(&self) -> (f64, f64) {
        let n = self.samples.len() as f64;
        let mean_x = self.samples.iter().map(|(x, _)| *x as f64).sum::<f64>() / n;
        let mean_y = self.samples.iter().map(|(_, y)| y).sum::<f64>() / n;
        let covariance: f64 = self
            .samples
            .iter()
            .map(|(x, y)| (*x as f64 - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = self
            .samples
            .iter()
            .map(|(x, _)| (*x as f64 - mean_x).powi(2))
            .sum();
        let slope = covariance / variance;
        (slope, mean_y - slope * mean_x)
    }

    /// Value that the line gives at the size to design for.
    pub fn at_design_size(&self) -> f64 {
        let (slope, start) = self.line();
        slope.mul_add(self.design_size as f64, start)
    }

    /// The samples and the line as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let (slope, start) = self.line();
        serde_json::json!({
            "name": self.name,
            "size_of": self.size_of,
            "unit": self.unit,
            "samples": self.samples,
            "slope": slope,
            "at_zero": start,
            "design_size": self.design_size,
            "at_design_size": self.at_design_size(),
        })
    }
}

/// Microseconds that one call takes, the best of several rounds.
pub fn time_us<F>(calls: u32, mut call: F) -> f64
where
    F: FnMut(),
{
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..calls {
            call();
        }
        best = best.min(start.elapsed().as_secs_f64() * 1e6 / f64::from(calls));
    }
    best
}

/// Bytes on the heap that a value takes.
pub fn heap_bytes<T, F>(make: F) -> f64
where
    F: FnOnce() -> T,
{
    let profiler = dhat::Profiler::builder().testing().build();
    let before = dhat::HeapStats::get().curr_bytes;
    let value = make();
    let after = dhat::HeapStats::get().curr_bytes;
    drop(value);
    drop(profiler);
    after.saturating_sub(before) as f64
}

/// The quantities as a Markdown table.
pub fn table(quantities: &[Quantity]) -> String {
    let mut lines = vec![
        "| quantity | unit | samples (size: value) | slope | at the size to design for |"
            .to_owned(),
        "|---|---|---|---|---|".to_owned(),
    ];
    for quantity in quantities {
        let samples: Vec<String> = quantity
            .samples
            .iter()
            .map(|(size, value)| format!("{size}: {value:.4}"))
            .collect();
        lines.push(format!(
            "| {} | {} | {} | {:.4} per {} | {}: {:.1} |",
            quantity.name,
            quantity.unit,
            samples.join(", "),
            quantity.line().0,
            quantity.size_of,
            quantity.design_size,
            quantity.at_design_size(),
        ));
    }
    lines.join("\n")
}
