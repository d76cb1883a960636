//! The cases of the review that are scripts. Each plays one deployment on loopback and checks one rule.
//!
//! Usage: `standin-2 CASE FOLDER`, in the root of the repository. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod net;
mod node;
mod record;
mod runner;
mod store;
mod usage;
mod versions;

use std::path::{Path, PathBuf};
use std::process::exit;

use record::Record;

/// How a case has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

/// What a case needs.
#[derive(Debug, Clone)]
pub struct Case {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let record = Record::open(&Path::new(folder).join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let case = Case {
        record: record.clone(),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match name.as_str() {
        "versions" => versions::play(&case),
        "versions-shorter" => versions::play_shorter(&case),
        "versions-rolled" => versions::play_rolled(&case),
        "versions-return" => versions::play_return(&case),
        "usage" => usage::play(&case),
        _ => Outcome::CouldNotRun,
    };
    record.add(&format!("outcome: {outcome:?}"));
    println!("{name}: {outcome:?}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    exit(match outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::CouldNotRun => 2,
    });
}
