//! Grammar of header and trailer fields (RFC 9110, 5.1 and 5.5).

/// Returns whether `name` can be the name of a field.
pub fn is_field_name(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte))
}

/// Returns whether `value` can be the value of a field: it has no control bytes other than tabs.
pub fn is_field_value(value: &[u8]) -> bool {
    value.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}

const fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(byte, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~')
}
