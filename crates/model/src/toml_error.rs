//! Text of the errors of TOML texts.

use toml::de::Error;

/// Maximum length of a text that quotes the line of the error, in bytes.
const QUOTE_BYTES_MAX: usize = 1_000;

/// Maximum length of a message without a quote, in characters.
const MESSAGE_CHARS_MAX: usize = 500;

/// Returns the text of an error with its line and column. The line itself is quoted only if it is
/// short.
pub(crate) fn describe(error: &Error) -> String {
    let text = error.to_string();
    let text = text.trim_end();
    if text.len() <= QUOTE_BYTES_MAX {
        return text.to_owned();
    }
    let position = text.lines().next().unwrap_or_default();
    let description = format!("{position}: {}", error.message());
    description.chars().take(MESSAGE_CHARS_MAX).collect()
}
