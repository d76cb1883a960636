//! The `tealsaddle` program, which runs one entry node.

mod front;

use std::process::ExitCode;

use getopts::Options;
use tealsaddle_node::settings::Settings;
use tealsaddle_node::{Error, logging, node};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Argument that selects the `front` role, for a platform whose runners register themselves.
const FRONT_ROLE: &str = "front";

const USAGE: &str = "Usage: tealsaddle [--check] SETTINGS.yaml
       tealsaddle [--check] front

With `front` the node serves a platform whose runners register themselves; the
environment variable TEALSADDLE_CONFIG names its settings file.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    options.optflag("", "check", "check the settings file and exit");
    options
}

fn main() -> ExitCode {
    let options = options();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("tealsaddle {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let [file] = matches.free.as_slice() else {
        return usage_error("one settings file is needed");
    };
    let is_check = matches.opt_present("check");
    let result = if file == FRONT_ROLE {
        front::run(is_check)
    } else {
        run(file, is_check).map_err(Into::into)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tealsaddle: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("tealsaddle: {message}; try --help");
    ExitCode::from(2)
}

fn run(file: &str, is_check: bool) -> Result<(), Error> {
    let settings = Settings::from_file(file)?;
    if is_check {
        println!("{file}: valid");
        return Ok(());
    }
    logging::open(&settings.log)?;
    node::run(settings)
}
