//! Error type of this package.

use std::io;
use std::net::SocketAddr;

use displaydoc::Display;

/// Reason why a node could not start or had to stop.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot read {file}: {source}
    ReadFile {
        /// Path of the settings file.
        file: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// {file}: {message}
    InvalidSettings {
        /// Path of the settings file.
        file: String,
        /// Field and rule that it violates, or line and syntax error.
        message: String,
    },
    /// cannot listen on {address}: {source}
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error returned by the operating system.
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
