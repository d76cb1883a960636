//! Compares planning policies on simulated fleets and writes tables, JSON and plots.
//!
//! `cargo run --release -p tealsaddle-testkit --example experiment` runs everything; seeds are
//! fixed.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Instant;

use getopts::Options;
use serde::Serialize;
use tealsaddle_testkit::experiment::report::{
    Row, RunGroup, TargetCheck, check_targets, table, target_table,
};
use tealsaddle_testkit::experiment::scenario::{
    Deployment, PolicyKind, Scenario, flipperliga, karoo, scenarios,
};
use tealsaddle_testkit::experiment::{Run, plot, run_all};

/// Content of a JSON report file.
#[derive(Debug, Serialize)]
struct Report {
    deployment: &'static str,
    seeds: u64,
    rows: Vec<Row>,
    targets: Vec<TargetCheck>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("s", "seeds", "number of seeds, from 1 on; default 10", "N");
    options.optopt("t", "threads", "threads; default 6", "N");
    options.optopt(
        "o",
        "out",
        "directory of the report files; default reports",
        "DIR",
    );
    options.optmulti("c", "scenario", "scenario to run; default all", "NAME");
    options.optflag("h", "help", "show this text");
    let given = options.parse(std::env::args().skip(1))?;
    if given.opt_present("h") {
        print!("{}", options.usage("experiment [options]"));
        return Ok(());
    }
    let seeds: u64 = given.opt_get_default("s", 10)?;
    let threads = given.opt_get_default("t", 6)?;
    let out = given.opt_get_default("o", "reports".to_owned())?;
    let wanted = given.opt_strs("c");
    fs::create_dir_all(&out)?;
    let started = Instant::now();
    for deployment in [flipperliga(), karoo()] {
        let deployment = Arc::new(deployment);
        let scenarios = scenarios().into_iter();
        let scenarios =
            scenarios.filter(|s| wanted.is_empty() || wanted.iter().any(|w| w == s.name));
        let scenarios: Vec<Arc<Scenario>> = scenarios.map(Arc::new).collect();
        let runs = runs(&deployment, &scenarios, seeds);
        let outcomes = run_all(&runs, threads);
        let chunks = runs
            .chunks(seeds as usize)
            .zip(outcomes.chunks(seeds as usize));
        let groups: Vec<RunGroup<'_>> = chunks
            .map(|(runs, outcomes)| RunGroup { runs, outcomes })
            .collect();
        write_report(&deployment, &groups, seeds, Path::new(&out))?;
    }
    eprintln!("{:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

fn runs(deployment: &Arc<Deployment>, scenarios: &[Arc<Scenario>], seeds: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for scenario in scenarios {
        let mut policies = vec![
            PolicyKind::Cost(1.0),
            PolicyKind::Cost(10.0),
            PolicyKind::Threshold,
            PolicyKind::Oracle,
        ];
        if scenario.name == "swings" {
            // Additional weights show the effect of a larger weight.
            policies.extend([20.0, 40.0].map(PolicyKind::Cost));
        }
        if scenario.runs_all_policies {
            policies.push(PolicyKind::Mixed);
            policies.extend(deployment.fixed_splits().into_iter().map(PolicyKind::Fixed));
        }
        for policy in policies {
            runs.extend((1..=seeds).map(|seed| Run {
                deployment: Arc::clone(deployment),
                scenario: Arc::clone(scenario),
                policy,
                seed,
            }));
        }
    }
    runs
}

fn write_report(
    deployment: &Deployment,
    groups: &[RunGroup<'_>],
    seeds: u64,
    out: &Path,
) -> Result<(), Box<dyn Error>> {
    let name = deployment.name;
    let rows: Vec<Row> = groups.iter().map(RunGroup::row).collect();
    let by_scenario = groups.chunk_by(|a, b| a.runs[0].scenario.name == b.runs[0].scenario.name);
    let mut all_targets = Vec::new();
    for groups in by_scenario {
        all_targets.extend(check_targets(groups));
        let scenario = &groups[0].runs[0].scenario;
        if ["swings", "shift"].contains(&scenario.name) {
            let path = out.join(format!("policy-{name}-{}.svg", scenario.name));
            let title = format!("{name}, {}, median of {seeds} seeds", scenario.name);
            plot::goodput(&path, &title, &plotted(groups))?;
        }
    }
    let tables = format!("{}\n{}", target_table(&all_targets), table(&rows));
    println!("## {name}\n\n{tables}");
    fs::write(out.join(format!("policy-{name}.md")), tables)?;
    let report = Report {
        deployment: name,
        seeds,
        rows,
        targets: all_targets,
    };
    let json = serde_json::to_string_pretty(&report)?;
    fs::write(out.join(format!("policy-{name}.json")), json + "\n")?;
    Ok(())
}

/// Selects the planners and the best fixed split, since more lines would make the plot unreadable.
fn plotted<'a, 'b>(groups: &'b [RunGroup<'a>]) -> Vec<&'b RunGroup<'a>> {
    let is_planner = |group: &&RunGroup<'_>| {
        matches!(
            group.runs[0].policy,
            PolicyKind::Cost(1.0 | 10.0) | PolicyKind::Threshold | PolicyKind::Oracle
        )
    };
    let mut plotted: Vec<&RunGroup<'a>> = groups.iter().filter(is_planner).collect();
    let fixed = groups
        .iter()
        .filter(|group| matches!(group.runs[0].policy, PolicyKind::Fixed(_)));
    plotted.extend(fixed.max_by(|a, b| a.row().goodput_per_s.total_cmp(&b.row().goodput_per_s)));
    plotted
}
