//! Samples of a quantity, and their linear regression.

use std::time::Instant;

/// Number of rounds; the minimum counts, since other processes only add to a time.
const ROUNDS: u32 = 7;

/// A quantity that depends on a size.
#[derive(Debug)]
pub struct Quantity {
    /// Description of the quantity.
    pub name: &'static str,
    /// Item that the size counts.
    pub size_of: &'static str,
    /// Unit of the values, such as `bytes` or `us`.
    pub unit: &'static str,
    /// Pairs of size and value.
    pub samples: Vec<(usize, f64)>,
    /// Size for which the system is designed.
    pub design_size: usize,
}

impl Quantity {
    /// Measures a quantity at several sizes with `value`, which receives the size.
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

    /// Slope and intercept of the least-squares line.
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

    /// Value of the line at the design size.
    pub fn at_design_size(&self) -> f64 {
        let (slope, intercept) = self.line();
        slope.mul_add(self.design_size as f64, intercept)
    }

    /// The samples and the regression line as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let (slope, intercept) = self.line();
        serde_json::json!({
            "name": self.name,
            "size_of": self.size_of,
            "unit": self.unit,
            "samples": self.samples,
            "slope": slope,
            "at_zero": intercept,
            "design_size": self.design_size,
            "at_design_size": self.at_design_size(),
        })
    }
}

/// Mean duration of one of `calls` calls in microseconds; the minimum of several rounds.
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

/// Number of heap bytes allocated by a value.
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

/// Formats the quantities as a Markdown table.
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
