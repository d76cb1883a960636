//! Error type of this package.

use displaydoc::Display;

/// Reason why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}; try --help
    Usage(String),
    /// cannot read {file}: {source}
    ReadFile {
        /// Path of the file.
        file: String,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// {file}: {message}
    InvalidConfig {
        /// Path of the file.
        file: String,
        /// Field and rule that it violates, or line and syntax error.
        message: String,
    },
    /// cannot reach the node at {address}: {message}
    Unreachable {
        /// Administration address of the node.
        address: String,
        /// Error of the connection.
        message: String,
    },
    /// the answer of the node at {address} was lost, the change may have taken effect: {message}
    OutcomeUnknown {
        /// Administration address of the node.
        address: String,
        /// Error of the connection, or the message of the node.
        message: String,
    },
    /// {message}
    Conflict {
        /// Message of the node: the version in force and the next step.
        message: String,
    },
    /// the node refused with status {status}: {message}
    Refused {
        /// HTTP status code.
        status: u16,
        /// Message of the node.
        message: String,
    },
    /// {file} differs from version {version}
    Differs {
        /// Path of the file.
        file: String,
        /// Version of the configuration in force.
        version: u64,
    },
    /// the node answered outside its protocol: {0}
    Protocol(String),
    /// cannot write the output: {0}
    Output(std::io::Error),
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::ReadFile { source, .. } | Self::Output(source) => Some(source),
            _ => None,
        }
    }
}

impl Error {
    /// Returns the exit status of the program, by which scripts distinguish the failures.
    pub const fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::InvalidConfig { .. } | Self::ReadFile { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Unreachable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::Refused { .. } | Self::Differs { .. } | Self::Protocol(_) | Self::Output(_) => 1,
        }
    }
}
