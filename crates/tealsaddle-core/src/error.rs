//! Errors of this package.

use displaydoc::Display;

/// Why the operators' configuration or a stored record was refused.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Error {
    /// {field}: {rule}
    InvalidField {
        /// Path of the field, such as `engines[3].zone`.
        field: String,
        /// The rule that the value breaks.
        rule: String,
    },
    /// invalid YAML: {0}
    InvalidYaml(String),
    /// unknown role {0:?}; expected prefill, decode or mixed
    UnknownRole(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Names a field and the rule that its value breaks.
    pub fn field(field: impl Into<String>, rule: impl Into<String>) -> Self {
        Self::InvalidField {
            field: field.into(),
            rule: rule.into(),
        }
    }
}
