//! Serde representation of fencing tokens as JSON strings.

pub mod text {
    //! A required fencing token.

    use serde::{Deserialize, Deserializer, Serializer, de};
    use skylarkdock_units::ids::Epoch;

    /// Serializes the token as a string.
    ///
    /// # Errors
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(token: &Epoch, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(token)
    }

    /// Deserializes the token from a string.
    ///
    /// # Errors
    /// Returns an error when the text is not a token.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Epoch, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

pub mod optional {
    //! An optional fencing token.

    use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
    use skylarkdock_units::ids::Epoch;

    /// Serializes the token as a string, or null if there is none.
    ///
    /// # Errors
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(
        token: &Option<Epoch>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        token.map(|token| token.to_string()).serialize(serializer)
    }

    /// Deserializes the token from a string, or null if there is none.
    ///
    /// # Errors
    /// Returns an error when the text is not a token.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Epoch>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| text.parse().map_err(de::Error::custom)).transpose()
    }
}
