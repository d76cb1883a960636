//! Sends the load of a plan to one or more nodes and prints the results as JSON.

use getopts::Options;
use tealsaddle_testkit::load::{Plan, run};

type Error = Box<dyn std::error::Error>;

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.reqopt("p", "plan", "phases and mixes, in YAML", "FILE");
    options.optmulti("t", "target", "caller address of a node", "IP:PORT");
    options.optopt(
        "",
        "prompts",
        "prompts to use in rotation, one per line",
        "FILE",
    );
    options.optopt("n", "max-requests", "maximum number of requests", "N");
    options.optopt("o", "output", "file for the result", "FILE");
    options
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let usage = options.usage("Usage: load --plan FILE --target IP:PORT [...]");
    if arguments
        .iter()
        .any(|argument| argument == "-h" || argument == "--help")
    {
        print!("{usage}");
        return Ok(());
    }
    let matches = options.parse(&arguments)?;
    let mut plan: Plan = serde_saphyr::from_str(&std::fs::read_to_string(
        matches.opt_str("plan").ok_or("--plan is required")?,
    )?)?;
    if let Some(file) = matches.opt_str("prompts") {
        plan.prompts = std::fs::read_to_string(file)?
            .lines()
            .map(str::to_owned)
            .collect();
    }
    if let Some(count) = matches.opt_get("max-requests")? {
        plan.max_requests = count;
    }
    let mut targets = Vec::new();
    for target in matches.opt_strs("target") {
        targets.push(target.parse()?);
    }
    if targets.is_empty() {
        return Err("at least one --target is required".into());
    }
    let result = serde_json::to_string_pretty(&run(&plan, &targets).await)?;
    match matches.opt_str("output") {
        Some(file) => std::fs::write(file, result)?,
        None => println!("{result}"),
    }
    Ok(())
}
