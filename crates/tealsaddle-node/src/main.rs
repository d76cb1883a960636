//! The `tealsaddle` program: one entry node.

use std::process::ExitCode;

use getopts::Options;
use tealsaddle_node::settings::Settings;
use tealsaddle_node::{Error, logging, node};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

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
        print!(
            "{}",
            options.usage("Usage: tealsaddle [--check] SETTINGS.yaml")
        );
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("tealsaddle {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let [file] = matches.free.as_slice() else {
        return usage_error("one settings file is needed");
    };
    match run(file, matches.opt_present("check")) {
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
