//! Errors of this package.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Why the node could not start or had to stop.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {file}: {source}
    ReadFile {
        /// The file.
        file: String,
        /// What the system said.
        source: io::Error,
    },
    /// {file}: {message}
    InvalidSettings {
        /// The file.
        file: String,
        /// The field and the rule, or the line and the fault.
        message: String,
    },
    /// cannot listen on {address}: {source}
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// cannot open the log: {0}
    Log(String),
    /// cannot open the metrics sink: {0}
    Metrics(String),
    /// cannot start a thread: {0}
    Thread(io::Error),
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::ReadFile { source, .. } | Self::Listen { source, .. } | Self::Thread(source) => {
                Some(source)
            }
            Self::InvalidSettings { .. } | Self::Log(_) | Self::Metrics(_) => None,
        }
    }
}
