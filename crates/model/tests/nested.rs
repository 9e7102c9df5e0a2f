//! Configuration texts that are nested too deeply or have numbers out of range.

use rstest::rstest;
use toucanquay_model::{Document, ErrorKind, Section};

/// Maximum length of an error's text, in bytes.
const ERROR_BYTES_MAX: usize = 2_000;

fn nested(levels: usize) -> String {
    let (open, close) = ("[".repeat(levels), "]".repeat(levels));
    format!("quota = {open}{close}\n")
}

fn nested_tables(levels: usize) -> String {
    format!("quota = {}1{}\n", "{a=".repeat(levels), "}".repeat(levels))
}

fn dotted(levels: usize) -> String {
    format!("{}x = 1\n", "a.".repeat(levels))
}

fn header(levels: usize) -> String {
    format!("[{}x]\ny = 1\n", "a.".repeat(levels))
}

/// Guards against a text that overflows the stack of the process, or whose error is as long as the
/// text.
#[rstest]
#[case::deep(nested(300))]
#[case::very_deep(nested(100_000))]
#[case::tables(nested_tables(300))]
#[case::very_deep_tables(nested_tables(100_000))]
#[case::keys(dotted(300))]
#[case::very_deep_keys(dotted(100_000))]
#[case::header(header(300))]
#[case::very_deep_header(header(100_000))]
#[case::number("[services.a]\ndeadline_ms = 1e999\n".to_owned())]
#[case::number_above_64_bits("[services.a]\ndeadline_ms = 36893488147419103232\n".to_owned())]
fn odd_text_is_refused_with_a_short_error(#[case] text: String) {
    let section = Section::parse("desk", &text);
    let document = Document::parse(&text);

    for error in [section.unwrap_err(), document.unwrap_err()] {
        assert_eq!(error.kind(), ErrorKind::MalformedBody);
        let length = error.to_string().len();
        assert!(length < ERROR_BYTES_MAX, "{length} bytes");
    }
}
