//! The names that leave a process keep their spelling.
//!
//! `docs/outward-names.md` lists them with the file that spells each. A rename in the code that
//! forgets the attribute or the constant for an outward name changes a wire or file format without
//! any compile error. This test fails then: each name is still spelled in its file, and the names
//! of a type still stand in the order of the page.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

/// One table row of the page: a file and the cells after it, as lists of code spans.
struct Row {
    file: String,
    cells: Vec<Vec<String>>,
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn code_spans(cell: &str) -> Vec<String> {
    cell.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// The table rows of each section of the page, by the section's heading.
fn sections() -> BTreeMap<String, Vec<Row>> {
    let page = fs::read_to_string(root().join("docs/outward-names.md")).expect("the page of names");
    let mut sections: BTreeMap<String, Vec<Row>> = BTreeMap::new();
    let mut heading = String::new();
    for line in page.lines() {
        if let Some(title) = line.strip_prefix("## ") {
            heading = title.to_owned();
        } else if line.starts_with("| `") {
            let mut cells = line.trim_matches('|').split(" | ").map(code_spans);
            let file = cells.next().expect("a row has a first cell").remove(0);
            let cells = cells.collect();
            let rows = sections.entry(heading.clone()).or_default();
            rows.push(Row { file, cells });
        }
    }
    sections
}

/// A file's tokens in order: identifiers, and string literals with their quotes and with line
/// continuations joined. Comments are left out.
fn tokens(file: &str) -> Vec<String> {
    let path = root().join(file);
    let text = fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{file}, which the page names: {error}"));
    let characters: Vec<char> = text.chars().collect();
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < characters.len() {
        let end = token_end(&characters, at);
        let token: String = characters[at..end].iter().collect();
        if token.starts_with('"') {
            tokens.push(joined(&token));
        } else if !token.starts_with("//") && !token.trim().is_empty() {
            tokens.push(token);
        }
        at = end;
    }
    tokens
}

/// The index after the token that begins at `at`.
fn token_end(characters: &[char], at: usize) -> usize {
    let is_word = |c: &char| c.is_ascii_alphanumeric() || *c == '_';
    let length_while = |accepted: &dyn Fn(&char) -> bool| {
        let rest = characters[at..].iter();
        rest.take_while(|c| accepted(c)).count()
    };
    match (characters[at], characters.get(at + 1)) {
        ('/', Some('/')) => at + length_while(&|c| *c != '\n'),
        ('"', _) => string_end(characters, at),
        ('\'', Some('"')) => at + 3,
        ('\'', Some('\\')) => at + 4,
        (c, _) if is_word(&c) => at + length_while(&is_word),
        _ => at + 1,
    }
}

/// The index after the string literal that begins at `at`.
fn string_end(characters: &[char], at: usize) -> usize {
    let mut end = at + 1;
    while end < characters.len() && characters[end] != '"' {
        end += if characters[end] == '\\' { 2 } else { 1 };
    }
    (end + 1).min(characters.len())
}

fn joined(literal: &str) -> String {
    let mut lines = literal.split("\\\n");
    let first = lines.next().unwrap_or_default().to_owned();
    lines.fold(first, |text, line| text + line.trim_start())
}

/// The tokens of a type's declaration, from its name to its last brace.
fn declaration<'a>(tokens: &'a [String], type_name: &str) -> &'a [String] {
    let declares =
        |pair: &[String]| matches!(pair[0].as_str(), "struct" | "enum") && pair[1] == type_name;
    let Some(start) = tokens.windows(2).position(declares) else {
        return &[];
    };
    let mut depth = 0;
    for (length, token) in tokens[start..].iter().enumerate() {
        match token.as_str() {
            "{" => depth += 1,
            "}" if depth == 1 => return &tokens[start..start + length],
            "}" => depth -= 1,
            _ => {}
        }
    }
    &tokens[start..]
}

/// A name without the differences between `PascalCase`, `snake_case` and `kebab-case`, which
/// derived names convert.
fn without_case(name: &str) -> String {
    let letters = name.chars().filter(|c| !matches!(c, '_' | '-' | '"'));
    letters.flat_map(char::to_lowercase).collect()
}

/// The names that do not follow the one before them in the declaration of a type.
fn missing_in_order(declaration: &[String], names: &[String]) -> Vec<String> {
    let mut rest = declaration.iter();
    let is_missing = |name: &&String| {
        let expected = without_case(name);
        !rest.any(|token| without_case(token) == expected)
    };
    names.iter().filter(is_missing).cloned().collect()
}

/// Checks the tables of types, whose rows have a type and its names.
fn assert_types_spell_their_names(heading: &str, min_types: usize) {
    let sections = sections();
    let rows = &sections[heading];
    assert!(rows.len() >= min_types, "only {} types", rows.len());
    for row in rows {
        let tokens = tokens(&row.file);
        let type_name = &row.cells[0][0];
        let missing = missing_in_order(declaration(&tokens, type_name), &row.cells[1]);
        assert!(
            missing.is_empty(),
            "{}: {type_name} no longer spells, or has moved: {missing:?}",
            row.file
        );
    }
}

/// Checks the tables of string literals, whose rows have literals of one file.
fn assert_files_have_their_literals(heading: &str, min_literals: usize) {
    let sections = sections();
    let mut count = 0;
    for row in &sections[heading] {
        let tokens = tokens(&row.file);
        for name in &row.cells[0] {
            let literal = format!("\"{name}\"");
            count += 1;
            assert!(
                tokens.contains(&literal),
                "{}: the literal {literal} is gone",
                row.file
            );
        }
    }
    assert!(count >= min_literals, "only {count} literals");
}

#[test]
fn types_of_text_formats_spell_their_outward_names() {
    assert_types_spell_their_names("Fields and values in text formats", 65);
}

#[test]
fn types_written_by_position_keep_the_order_of_their_fields() {
    assert_types_spell_their_names("Fields and variants that are written by position", 25);
}

#[test]
fn commands_and_options_keep_their_names() {
    assert_types_spell_their_names("Commands and options", 11);
}

#[test]
fn words_of_sockets_settings_and_files_are_literals_of_their_files() {
    assert_files_have_their_literals("Words in string literals", 400);
}

#[test]
fn log_lines_are_literals_of_their_files() {
    assert_files_have_their_literals("Log lines", 60);
}

#[test]
fn sent_and_matched_texts_are_literals_of_their_files() {
    assert_files_have_their_literals("Texts that are sent or matched", 40);
}

#[test]
fn a_name_that_is_renamed_or_moved_is_missing() {
    let spelled = [
        "struct",
        "Row",
        "{",
        "token",
        ":",
        "u64",
        "\"held_for\"",
        "}",
    ];
    let spelled = spelled.map(str::to_owned);
    let declaration = declaration(&spelled, "Row");
    let missing = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        missing_in_order(declaration, &names)
    };
    assert!(missing(&["token", "held-for"]).is_empty());
    assert_eq!(missing(&["ticket"]), ["ticket"]);
    assert_eq!(missing(&["held_for", "token"]), ["token"]);
}
