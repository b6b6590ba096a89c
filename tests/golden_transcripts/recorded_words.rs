//! Names in a transcript, as they were when its checksum was recorded. The golden transcripts of
//! other packages include this file.
//!
//! Transcripts contain the names of types, variants and fields of the library. A table of the
//! renamed ones keeps a change of names apart from a change of behaviour: the names in the text are
//! replaced before it is hashed, and the recorded checksum stays.

use std::borrow::Cow;

/// The text with each present word of the table replaced by its recorded word. Words are the
/// longest runs of ASCII letters, digits and underscores; all other text stays as it is.
pub(crate) fn with_recorded_words<'a>(
    text: &'a str,
    renamed_words: &[(&str, &str)],
) -> Cow<'a, str> {
    if renamed_words.is_empty() {
        return Cow::Borrowed(text);
    }
    let is_of_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let mut replaced = String::with_capacity(text.len());
    let mut rest = text;
    while !rest.is_empty() {
        let word_end = rest.find(|c| !is_of_word(c)).unwrap_or(rest.len());
        let (word, after) = rest.split_at(word_end);
        let row = renamed_words.iter().find(|(present, _)| *present == word);
        replaced.push_str(row.map_or(word, |(_, recorded)| recorded));
        let gap_end = after.find(is_of_word).unwrap_or(after.len());
        let (gap, next) = after.split_at(gap_end);
        replaced.push_str(gap);
        rest = next;
    }
    Cow::Owned(replaced)
}

#[test]
fn whole_words_alone_are_replaced() {
    let renamed_words = [("Start", "Begin"), ("at", "due_at"), ("Begin", "Open")];
    let cases = [
        ("", ""),
        ("Start", "Begin"),
        // A word that was replaced isn't replaced again.
        (
            "Start { at: 5.0ms }, Begin",
            "Begin { due_at: 5.0ms }, Open",
        ),
        ("[Start(at),Start]", "[Begin(due_at),Begin]"),
        // Parts of words, and other cases of letters, are other words.
        (
            "Restart StartCall Start_at Start2 _at start",
            "Restart StartCall Start_at Start2 _at start",
        ),
        // Non-ASCII letters end a word and are kept.
        ("µat  «Start»\n", "µdue_at  «Begin»\n"),
    ];
    for (text, expected) in cases {
        assert_eq!(with_recorded_words(text, &renamed_words), expected);
        assert_eq!(with_recorded_words(text, &[]), text);
    }
}
