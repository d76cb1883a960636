//! Stand-ins for the platform's store, the runners and the clients, and the cases that use them.
//!
//! `standin CASE DIRECTORY` plays one case against the project's own program, which it starts as separate processes.
//! It uses the standard library only. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod runner;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = arguments.as_slice() else {
        eprintln!("usage: standin CASE DIRECTORY");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let status = match cases::run(case, std::path::Path::new(directory), has_trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            2
        }
    };
    std::process::exit(status);
}
