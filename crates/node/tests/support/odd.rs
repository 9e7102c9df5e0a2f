//! Values that can't be read.

/// Returns the text of a list that is nested this deep.
pub fn deep(levels: usize) -> Vec<u8> {
    [b"[".repeat(levels), b"]".repeat(levels)].concat()
}

/// Returns a value in which a text is replaced by another one.
pub fn replaced(value: &[u8], from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(value.to_vec()).expect("a text");
    text.replace(from, to).into_bytes()
}
