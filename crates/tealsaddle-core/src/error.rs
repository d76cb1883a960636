//! Validation errors of this crate.

use displaydoc::Display;

/// Reason why a value in the operators' configuration or in a stored record is invalid.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {field}: {rule}
    InvalidField {
        /// Path of the field, such as `engines[3].zone`.
        field: String,
        /// Rule that the value violates.
        rule: String,
    },
    /// invalid YAML: {0}
    InvalidYaml(String),
    /// unknown role {0:?}; expected prefill, decode or mixed
    UnknownRole(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Creates an [`Error::InvalidField`] for a field and the rule that its value violates.
    pub fn field(field: impl Into<String>, rule: impl Into<String>) -> Self {
        Self::InvalidField {
            field: field.into(),
            rule: rule.into(),
        }
    }
}
