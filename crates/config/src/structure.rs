//! Checks the structure of a file against the schema: keys, blocks and the types of values. The
//! check reports every problem at once and records the position of each key.

use std::collections::BTreeMap;
use std::ops::Range;

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

use crate::error::{Problem, ProblemKind};
use crate::schema::{FILE, Key, ValueType, nearest_name};

/// A position in a text. Lines and columns count from 1.
#[derive(Clone, Copy)]
pub(crate) struct Position {
    line: usize,
    column: usize,
}

impl Position {
    /// The start of a text.
    pub(crate) const START: Position = Position { line: 1, column: 1 };

    /// The position of a byte offset.
    fn of_offset(text: &str, offset: usize) -> Position {
        let before = text.get(..offset).unwrap_or("");
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |line| line.chars().count());
        Position {
            line: before.matches('\n').count() + 1,
            column: column + 1,
        }
    }

    /// A problem at this position.
    pub(crate) fn problem(self, kind: ProblemKind) -> Problem {
        Problem {
            line: self.line,
            column: self.column,
            kind,
        }
    }
}

/// The positions of the keys of a text, by their paths.
#[derive(Default)]
pub(crate) struct KeyPositions(BTreeMap<String, Position>);

impl KeyPositions {
    /// The position of the key at `path`. If the key is absent, the position of the nearest block
    /// around it.
    pub(crate) fn of(&self, path: &str) -> Position {
        let mut path = path;
        loop {
            if let Some(&position) = self.0.get(path) {
                return position;
            }
            // An entry of a list has the position of the list.
            let Some(end) = path.rfind(['.', '[']) else {
                return Position::START;
            };
            path = &path[..end];
        }
    }
}

/// The result of a check: the problems and the positions of the keys.
#[derive(Default)]
pub(crate) struct StructureCheck {
    pub(crate) problems: Vec<Problem>,
    pub(crate) positions: KeyPositions,
}

/// Checks a text.
pub(crate) fn check(text: &str) -> StructureCheck {
    let mut checker = Checker {
        text,
        found: StructureCheck::default(),
    };
    match hcl_edit::parser::parse_body(text) {
        Ok(body) => checker.check_body(&body, FILE, "", None),
        Err(error) => {
            let position = Position {
                line: error.location().line(),
                column: error.location().column(),
            };
            checker
                .found
                .problems
                .push(position.problem(ProblemKind::Syntax(error.message().to_owned())));
        }
    }
    checker.found
}

struct Checker<'a> {
    text: &'a str,
    found: StructureCheck,
}

impl Checker<'_> {
    /// The position of a span, or the start of the text if there is no span.
    fn position(&self, span: Option<Range<usize>>) -> Position {
        span.map_or(Position::START, |span| {
            Position::of_offset(self.text, span.start)
        })
    }

    fn add_problem(&mut self, span: Option<Range<usize>>, kind: ProblemKind) {
        let position = self.position(span);
        self.found.problems.push(position.problem(kind));
    }

    /// Checks the body of the block at `block_path` (empty for the file), whose name is at `span`.
    /// The recursion is as deep as the schema.
    fn check_body(
        &mut self,
        body: &Body,
        keys: &[Key],
        block_path: &str,
        span: Option<Range<usize>>,
    ) {
        let path_of = |name: &str| match block_path {
            "" => name.to_owned(),
            _ => format!("{block_path}.{name}"),
        };
        let mut seen: Vec<&str> = Vec::new();
        for structure in body.iter() {
            let (name, name_span) = match structure {
                Structure::Attribute(attribute) => (attribute.key.as_str(), attribute.key.span()),
                Structure::Block(block) => (block.ident.as_str(), block.ident.span()),
            };
            let name_span = name_span.or_else(|| structure.span());
            let path = path_of(name);
            let Some(key) = keys.iter().find(|key| key.name == name) else {
                let suggestion = nearest_name(name, keys);
                self.add_problem(name_span, ProblemKind::UnknownKey { path, suggestion });
                continue;
            };
            if seen.contains(&name) {
                self.add_problem(name_span, ProblemKind::Duplicate(path));
                continue;
            }
            seen.push(name);
            let position = self.position(name_span.clone());
            self.found.positions.0.insert(path.clone(), position);
            self.check_value(structure, key, path, name_span);
        }
        for key in keys
            .iter()
            .filter(|key| key.is_required && !seen.contains(&key.name))
        {
            self.add_problem(span.clone(), ProblemKind::Missing(path_of(key.name)));
        }
    }

    /// Checks the value of a known key.
    fn check_value(
        &mut self,
        structure: &Structure,
        key: &Key,
        path: String,
        span: Option<Range<usize>>,
    ) {
        match (structure, key.value_type) {
            (Structure::Block(block), ValueType::Block(keys)) => {
                if let Some(label) = block.labels.first() {
                    let label_span = label.span().or_else(|| span.clone());
                    self.add_problem(label_span, ProblemKind::Label(path.clone()));
                }
                self.check_body(&block.body, keys, &path, span);
            }
            (Structure::Block(_), _) => self.add_problem(span, ProblemKind::NotABlock(path)),
            (Structure::Attribute(_), ValueType::Block(_)) => {
                self.add_problem(span, ProblemKind::IsABlock(path));
            }
            (Structure::Attribute(attribute), value_type) => {
                if !value_type.accepts(&attribute.value) {
                    let expected = value_type.description();
                    let value_span = attribute.value.span().or(span);
                    self.add_problem(value_span, ProblemKind::WrongType { path, expected });
                }
            }
        }
    }
}
