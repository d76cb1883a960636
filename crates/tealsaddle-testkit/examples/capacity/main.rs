//! Measures how state, messages and CPU time grow with the size of a deployment.
//!
//! `capacity [--json FILE]` prints a table with the samples of each quantity at several sizes, the
//! slope of the regression line, and its value at the design size. Bytes are exact; times are the
//! minimum of several rounds on this machine.

mod authority;
mod quantities;
mod sample;

use getopts::Options;

use sample::Quantity;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut options = Options::new();
    options.optopt("", "json", "write the samples to a file", "FILE");
    let matches = options.parse(std::env::args().skip(1))?;
    let quantities = quantities::measure();
    println!("{}", sample::table(&quantities));
    if let Some(file) = matches.opt_str("json") {
        let values: Vec<_> = quantities.iter().map(Quantity::to_json).collect();
        std::fs::write(file, serde_json::to_string_pretty(&values)?)?;
    }
    Ok(())
}
