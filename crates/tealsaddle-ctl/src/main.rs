//! The `tealsaddlectl` program, the command line for operators.

use std::process::ExitCode;

use tealsaddle_ctl::args::{ADMIN_VARIABLE, Invocation, parse};
use tealsaddle_ctl::{Error, command};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tealsaddlectl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    match parse(arguments, std::env::var(ADMIN_VARIABLE).ok())? {
        Invocation::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Invocation::Run {
            command,
            connection,
            is_json,
        } => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(Error::Output)?;
            runtime.block_on(command::run(
                command,
                &connection,
                is_json,
                &mut std::io::stdout(),
            ))
        }
    }
}
