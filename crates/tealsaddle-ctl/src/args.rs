//! Command line arguments.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::Error;

/// Environment variable with the administration address of a node, used without `--admin`.
pub const ADMIN_VARIABLE: &str = "TEALSADDLE_ADMIN";
/// Environment variable with the bearer token, used without `--token-file`.
pub const TOKEN_VARIABLE: &str = "TEALSADDLE_TOKEN";

/// Output of `tealsaddlectl --help`.
pub const HELP: &str = "\
Usage: tealsaddlectl [OPTIONS] COMMAND

Commands:
  status               show the node, its zone, engines and peers
  counters             show the counters of the node
  config check FILE    check a configuration file without a node
  config get           print the configuration in force
  config diff FILE     compare a file with the configuration in force
  config apply FILE    put a configuration file in force
  config history       list the accepted versions
  drain engine NAME    stop new work on an engine; its requests in flight go on
  drain node           stop new work on the node, then stop the node
  watch                show decisions as they are taken
  explain REQUEST      show the decisions about one request

Options of all commands:
  -a, --admin IP:PORT  administration address of a node (or TEALSADDLE_ADMIN)
      --token-file F   file with the bearer token (or TEALSADDLE_TOKEN)
      --json           print JSON as the node sent it
  -h, --help           print the help of a command
      --version        print the version

Exit status: 0 done, 1 refused, 2 wrong usage, 3 invalid file, 4 conflict with
another change, 5 node not reached, 6 outcome not known.
";

/// Parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invocation {
    /// Print a text and exit.
    Print(String),
    /// Run a command.
    Run {
        /// Command with its arguments.
        command: Command,
        /// Address of the node and source of the token.
        connection: Connection,
        /// Whether to print JSON as received from the node.
        is_json: bool,
    },
}

/// Options that select the node and the bearer token.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Connection {
    /// Administration address; `None` if neither the option nor the variable is set.
    pub admin: Option<SocketAddr>,
    /// Path of the file with the bearer token, if given.
    pub token_file: Option<String>,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `status`: shows the node, its zone, engines and peers.
    Status,
    /// `counters`: shows the counters of the node.
    Counters,
    /// `config check FILE`: validates a file without a node.
    ConfigCheck {
        /// Path of the configuration file.
        file: String,
    },
    /// `config get`: prints the configuration in force.
    ConfigGet,
    /// `config diff FILE`: compares a file with the configuration in force.
    ConfigDiff {
        /// Path of the configuration file.
        file: String,
    },
    /// `config apply FILE`: validates a file and puts it in force.
    ConfigApply {
        /// Path of the configuration file.
        file: String,
        /// Version that the file is based on; `None` means the version in force.
        if_version: Option<u64>,
        /// Name of the operator, recorded with the change.
        author: Option<String>,
    },
    /// `config history`: lists the accepted versions.
    ConfigHistory,
    /// `drain engine NAME`: stops new work on an engine, or allows it again.
    DrainEngine {
        /// Name of the engine.
        engine: String,
        /// Whether to end the drain instead.
        is_undo: bool,
    },
    /// `drain node`: stops new work on the node, then the node itself.
    DrainNode,
    /// `watch`: shows decisions as they are made.
    Watch {
        /// Kinds of decisions to show; empty means all.
        kinds: Vec<String>,
    },
    /// `explain REQUEST`: shows the decisions about one request.
    Explain {
        /// Id of the request, from the `x-request-id` header of its response.
        request_id: String,
    },
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("a", "admin", "administration address of a node", "IP:PORT");
    options.optopt("", "token-file", "file with the bearer token", "FILE");
    options.optflag("", "json", "print JSON as the node sent it");
    options.optflag("h", "help", "print this help");
    options.optflag("", "version", "print the version");
    options.optopt("", "if-version", "version that the file was made from", "N");
    options.optopt("", "author", "name of the operator", "NAME");
    options.optflag("", "undo", "open the engine again");
    options.optmulti("k", "kind", "kind of decisions to show", "KIND");
    options
}

/// Options that only one command accepts, with that command.
const COMMAND_OPTIONS: [(&str, &str); 4] = [
    ("if-version", "config apply"),
    ("author", "config apply"),
    ("kind", "watch"),
    ("undo", "drain engine"),
];

/// Returns the help of a command, or `None` if there is no such command.
fn command_help(words: &[&str]) -> Option<&'static str> {
    Some(match words {
        ["status", ..] => {
            "Usage: tealsaddlectl status\n\nShows the node, its zone, the holder of authority, the \
             engines with role, load and order, and the peers.\n"
        }
        ["counters", ..] => {
            "Usage: tealsaddlectl counters\n\nShows the counters of the node, one for each refusal \
             and retry reason.\n"
        }
        ["config", "check", ..] => {
            "Usage: tealsaddlectl config check FILE\n\nChecks a configuration file without a node. \
             An error names the field and the rule, or the line.\n"
        }
        ["config", "get", ..] => {
            "Usage: tealsaddlectl config get [--json]\n\nPrints the configuration in force as YAML; \
             with --json, with its version and author.\n"
        }
        ["config", "diff", ..] => {
            "Usage: tealsaddlectl config diff FILE\n\nCompares a file with the configuration in \
             force. Exits with 0 when they are equal and with 1 when they differ.\n"
        }
        ["config", "apply", ..] => {
            "Usage: tealsaddlectl config apply [--if-version N] [--author NAME] FILE\n\nChecks the \
             file and puts it in force as a whole. With --if-version the change is made only if N is \
             still in force; without it, the version in force when the command starts is used. When \
             another operator was faster, nothing changes and the exit status is 4: look at `config \
             diff FILE`, take over the other change and apply again.\n"
        }
        ["config", "history", ..] => {
            "Usage: tealsaddlectl config history\n\nLists the accepted versions with author and \
             time.\n"
        }
        ["config", ..] => {
            "Usage: tealsaddlectl config check|get|diff|apply|history [FILE]\n\nWorks with the \
             configuration. Each has a --help of its own.\n"
        }
        ["drain", ..] => {
            "Usage: tealsaddlectl drain engine [--undo] NAME\n       tealsaddlectl drain node\n\nStops new \
             work on an engine, or on the node itself. Requests in flight are answered in full. With --undo an engine \
             takes new work again. A drained node leaves the deployment and its process exits; this cannot be undone.\n"
        }
        ["watch", ..] => {
            "Usage: tealsaddlectl watch [--kind KIND]...\n\nShows decisions as they are taken, with \
             their reason. KIND is admit, route, retry, claim, drain, role, lease, config or \
             member.\n"
        }
        ["explain", ..] => {
            "Usage: tealsaddlectl explain REQUEST\n\nShows the decisions about one request, with \
             their inputs and alternatives. REQUEST is the x-request-id of the answer.\n"
        }
        _ => return None,
    })
}

/// Parses the arguments, without the program's name. `admin_variable` is the value of
/// [`ADMIN_VARIABLE`].
///
/// # Examples
///
/// ```
/// use tealsaddle_ctl::args::{Command, Invocation, parse};
///
/// let invocation = parse(&["config", "check", "inventory.yaml"].map(String::from), None).unwrap();
/// let Invocation::Run { command, .. } = invocation else { unreachable!() };
/// assert_eq!(command, Command::ConfigCheck { file: "inventory.yaml".into() });
/// ```
pub fn parse(arguments: &[String], admin_variable: Option<String>) -> Result<Invocation, Error> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| Error::Usage(error.to_string()))?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    if matches.opt_present("help") {
        return Ok(Invocation::Print(
            command_help(&words).unwrap_or(HELP).to_owned(),
        ));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!(
            "tealsaddlectl {}\n",
            env!("CARGO_PKG_VERSION")
        )));
    }
    let command = parse_command(&words, &matches)?;
    validate_options(&words, &matches)?;
    let admin = match matches.opt_str("admin").or(admin_variable) {
        None => None,
        Some(text) => Some(text.parse().map_err(|_parse| {
            Error::Usage(format!("administration address {text:?} is not IP:port"))
        })?),
    };
    Ok(Invocation::Run {
        command,
        connection: Connection {
            admin,
            token_file: matches.opt_str("token-file"),
        },
        is_json: matches.opt_present("json"),
    })
}

fn validate_options(words: &[&str], matches: &Matches) -> Result<(), Error> {
    for (option, command) in COMMAND_OPTIONS {
        if matches.opt_present(option) && !words.join(" ").starts_with(command) {
            return Err(Error::Usage(format!("--{option} goes with `{command}`")));
        }
    }
    Ok(())
}

fn parse_command(words: &[&str], matches: &Matches) -> Result<Command, Error> {
    Ok(match words {
        [] => return Err(Error::Usage("a command is needed".to_owned())),
        ["status"] => Command::Status,
        ["counters"] => Command::Counters,
        ["config", "check", file] => Command::ConfigCheck {
            file: (*file).to_owned(),
        },
        ["config", "get"] => Command::ConfigGet,
        ["config", "diff", file] => Command::ConfigDiff {
            file: (*file).to_owned(),
        },
        ["config", "apply", file] => Command::ConfigApply {
            file: (*file).to_owned(),
            if_version: parse_version(matches)?,
            author: matches.opt_str("author"),
        },
        ["config", "history"] => Command::ConfigHistory,
        ["drain", "engine", engine] => Command::DrainEngine {
            engine: (*engine).to_owned(),
            is_undo: matches.opt_present("undo"),
        },
        ["drain", "node"] => Command::DrainNode,
        ["watch"] => Command::Watch {
            kinds: matches.opt_strs("kind"),
        },
        ["explain", request] => Command::Explain {
            request_id: (*request).to_owned(),
        },
        other => {
            let message = if command_help(other).is_some() {
                format!("wrong arguments for `{}`", other.join(" "))
            } else {
                format!("unknown command `{}`", other.join(" "))
            };
            return Err(Error::Usage(message));
        }
    })
}

fn parse_version(matches: &Matches) -> Result<Option<u64>, Error> {
    match matches.opt_str("if-version") {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(version) => Ok(Some(version)),
            Err(_not_a_number) => Err(Error::Usage(format!(
                "--if-version {text:?} is not a version"
            ))),
        },
    }
}
