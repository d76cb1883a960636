//! How far a planned stop is, for the requests that are on their way.

use tokio_util::sync::CancellationToken;

/// Moments of a planned stop.
#[derive(Debug, Clone, Default)]
pub struct Stopping {
    /// Cancelled when the node takes no more connections; what has not arrived whole is refused.
    pub closing: CancellationToken,
}
