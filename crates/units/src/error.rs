//! The error type of this crate's `FromStr` implementations.

use thiserror::Error;

/// Error from parsing an id, size, rate or time.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The text is empty or exceeds the type's maximum length.
    #[error("{type_name} has {len} characters; 1 to {max} are allowed")]
    Length {
        /// Name of the type that was parsed, for example `host id`.
        type_name: &'static str,
        /// Length of the text in characters.
        len: usize,
        /// Maximum length in characters.
        max: usize,
    },
    /// The text contains a character that the type does not allow.
    #[error(
        "{type_name} allows only lower-case letters, digits, '-', '_' and '.', found {found:?}"
    )]
    Character {
        /// Name of the type that was parsed, for example `host id`.
        type_name: &'static str,
        /// The first disallowed character.
        found: char,
    },
    /// The text does not have the format of the type.
    #[error("{text:?} is not {form}")]
    Form {
        /// The text that was parsed.
        text: String,
        /// The expected format, with an example.
        form: &'static str,
    },
}
