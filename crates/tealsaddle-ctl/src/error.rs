//! Errors of this package.

use displaydoc::Display;

/// Why a command failed.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}; try --help
    Usage(String),
    /// cannot read {file}: {source}
    ReadFile {
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// {file}: {message}
    InvalidConfig {
        /// The file.
        file: String,
        /// The field and the rule, or the line and the fault.
        message: String,
    },
    /// cannot reach the node at {address}: {message}
    Unreachable {
        /// Administration address.
        address: String,
        /// What went wrong.
        message: String,
    },
    /// the answer of the node at {address} was lost, the change may have taken effect: {message}
    OutcomeUnknown {
        /// Administration address.
        address: String,
        /// What went wrong.
        message: String,
    },
    /// {message}
    Conflict {
        /// What stands there now and what to do.
        message: String,
    },
    /// the node refused with status {status}: {message}
    Refused {
        /// HTTP status.
        status: u16,
        /// The node's message.
        message: String,
    },
    /// {file} differs from version {version}
    Differs {
        /// The file.
        file: String,
        /// Version in force.
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
    /// Exit status of the program, so that scripts can tell the failures apart.
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
