//! Which names there are and what each takes; a walk over the file that finds everything that is not so.

use std::collections::BTreeMap;
use std::ops::Range;

use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Body, Structure};

use crate::Problem;

#[derive(Clone, Copy)]
pub enum Takes {
    Text,
    Flag,
    Whole,
    /// A time such as "2s" or "1h 30m".
    Time,
    /// A size such as "64 MiB".
    Size,
    /// A number from 0 to 1.
    Part,
    /// A list of texts.
    Texts,
    Block(&'static [Name]),
}

#[derive(Clone, Copy)]
pub struct Name {
    pub name: &'static str,
    pub takes: Takes,
    pub needed: bool,
}

const fn name(name: &'static str, takes: Takes) -> Name {
    Name { name, takes, needed: false }
}

const fn needed(name: &'static str, takes: Takes) -> Name {
    Name { name, takes, needed: true }
}

const TRACE: &[Name] = &[
    name("enabled", Takes::Flag),
    needed("folder", Takes::Text),
    name("format", Takes::Whole),
    name("queue", Takes::Whole),
    name("block", Takes::Whole),
    name("seal_after", Takes::Time),
    name("rotate_size", Takes::Size),
    name("rotate_after", Takes::Time),
    name("keep_size", Takes::Size),
    name("sync", Takes::Flag),
];
const CAP: &[Name] = &[name("open", Takes::Whole), name("rate", Takes::Whole)];
const ADMISSION: &[Name] = &[
    name("enabled", Takes::Flag),
    name("when_full", Takes::Text),
    name("known_part", Takes::Part),
    name("known", Takes::Texts),
    name("half_life", Takes::Time),
    name("cold_part", Takes::Part),
    name("address", Takes::Block(CAP)),
    name("network", Takes::Block(CAP)),
    name("wide", Takes::Block(CAP)),
];
const DRAIN: &[Name] = &[name("at_once", Takes::Whole)];
const TRIAL: &[Name] = &[
    name("witness", Takes::Text),
    name("leases", Takes::Texts),
    name("routes", Takes::Texts),
    name("clock_rate", Takes::Part),
    name("disk_trouble", Takes::Text),
];
const CLUSTER: &[Name] = &[
    name("enabled", Takes::Flag),
    needed("name", Takes::Text),
    name("member", Takes::Text),
    needed("listen", Takes::Text),
    needed("region", Takes::Text),
    needed("zone", Takes::Text),
    needed("key", Takes::Text),
    name("seeds", Takes::Texts),
    name("voters", Takes::Texts),
    name("folder", Takes::Text),
    name("control", Takes::Text),
    name("clock_off", Takes::Part),
    name("drain", Takes::Block(DRAIN)),
    name("trial", Takes::Block(TRIAL)),
];
const FILE: &[Name] = &[
    name("trace", Takes::Block(TRACE)),
    name("admission", Takes::Block(ADMISSION)),
    name("cluster", Takes::Block(CLUSTER)),
];

/// How much two names may differ for one to be meant by the other, of 1.
const NEAR: f64 = 0.7;

/// Where in the text each name stands.
#[derive(Default)]
pub struct Places(BTreeMap<String, (usize, usize)>);

impl Places {
    /// Line and column of a name by its path; of the nearest block around it where it does not stand itself.
    pub fn of(&self, path: &str) -> (usize, usize) {
        let mut path = path;
        loop {
            if let Some(&place) = self.0.get(path) {
                return place;
            }
            // An entry of a list stands where the list does.
            let Some(end) = path.rfind(['.', '[']) else { return (1, 1) };
            path = &path[..end];
        }
    }
}

#[derive(Default)]
pub struct Found {
    pub problems: Vec<Problem>,
    pub places: Places,
}

/// Walks the text.
pub fn walk(text: &str) -> Found {
    let mut found = Found::default();
    match hcl_edit::parser::parse_body(text) {
        Ok(body) => Walk { text, found: &mut found }.body(&body, FILE, "", None),
        Err(error) => {
            let (line, column) = (error.location().line(), error.location().column());
            found.problems.push(Problem { line, column, what: error.message().to_owned() });
        }
    }
    found
}

struct Walk<'a> {
    text: &'a str,
    found: &'a mut Found,
}

impl Walk<'_> {
    fn place(&self, span: Option<Range<usize>>) -> (usize, usize) {
        let before = span.and_then(|span| self.text.get(..span.start)).unwrap_or("");
        let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count());
        (before.matches('\n').count() + 1, column + 1)
    }

    fn wrong(&mut self, span: Option<Range<usize>>, what: String) {
        let (line, column) = self.place(span);
        self.found.problems.push(Problem { line, column, what });
    }

    /// One level of nesting for each level of the schema, so this goes no deeper than that.
    fn body(&mut self, body: &Body, names: &[Name], around: &str, span: Option<Range<usize>>) {
        let path = |name: &str| if around.is_empty() { name.to_owned() } else { format!("{around}.{name}") };
        let mut seen: Vec<String> = Vec::new();
        for structure in body.iter() {
            let (key, key_span) = match structure {
                Structure::Attribute(attribute) => (attribute.key.as_str(), attribute.key.span()),
                Structure::Block(block) => (block.ident.as_str(), block.ident.span()),
            };
            let key_span = key_span.or_else(|| structure.span());
            let full = path(key);
            let Some(known) = names.iter().find(|known| known.name == key) else {
                let near =
                    nearest(key, names).map_or_else(String::new, |near| format!("; is '{near}' meant?"));
                self.wrong(key_span, format!("'{full}' is no name{near}"));
                continue;
            };
            if seen.iter().any(|other| other == key) {
                self.wrong(key_span, format!("'{full}' stands twice"));
                continue;
            }
            seen.push(key.to_owned());
            let place = self.place(key_span.clone());
            self.found.places.0.insert(full.clone(), place);
            match (structure, known.takes) {
                (Structure::Block(block), Takes::Block(inner)) => {
                    if let Some(label) = block.labels.first() {
                        self.wrong(label.span().or(key_span.clone()), format!("'{full}' takes no label"));
                    }
                    self.body(&block.body, inner, &full, key_span);
                }
                (Structure::Block(_), _) => {
                    self.wrong(key_span, format!("'{full}' is no block; write {full} = ..."));
                }
                (Structure::Attribute(_), Takes::Block(_)) => {
                    self.wrong(key_span, format!("'{full}' is a block; write {full} {{ ... }}"));
                }
                (Structure::Attribute(attribute), takes) => {
                    if let Err(what) = fits(&attribute.value, takes) {
                        let span = attribute.value.span().or(key_span);
                        self.wrong(span, format!("{full}: {what}"));
                    }
                }
            }
        }
        for needed in names.iter().filter(|known| known.needed) {
            if !seen.iter().any(|name| name == needed.name) {
                self.wrong(span.clone(), format!("'{}' is missing", path(needed.name)));
            }
        }
    }
}

/// Whether a value is of the kind that its name takes.
fn fits(value: &Expression, takes: Takes) -> Result<(), String> {
    let text = || match value {
        Expression::String(text) => Some(text.as_str()),
        _ => None,
    };
    let whole = |value: &Expression| match value {
        Expression::Number(number) => number.as_u64().is_some(),
        _ => false,
    };
    let time = |text: &str| humantime_serde::re::humantime::parse_duration(text).is_ok();
    let fine = match takes {
        Takes::Text => text().is_some(),
        Takes::Flag => matches!(value, Expression::Bool(_)),
        Takes::Whole => whole(value),
        Takes::Time => text().is_some_and(time),
        Takes::Size => whole(value) || text().is_some_and(|text| text.parse::<bytesize::ByteSize>().is_ok()),
        Takes::Part => matches!(value, Expression::Number(number) if number.as_f64().is_some()),
        Takes::Texts => {
            matches!(value, Expression::Array(all) if all.iter().all(|one| matches!(one, Expression::String(_))))
        }
        Takes::Block(_) => false,
    };
    let wanted = match takes {
        Takes::Text => "a text in quotes",
        Takes::Flag => "true or false",
        Takes::Whole => "a whole number of 0 or more",
        Takes::Time => "a time such as \"2s\" or \"1h 30m\"",
        Takes::Size => "a size such as \"64 MiB\"",
        Takes::Part => "a number from 0 to 1",
        Takes::Texts => "a list of texts such as [\"10.1.0.0/16\"]",
        Takes::Block(_) => "a block",
    };
    if fine { Ok(()) } else { Err(format!("it takes {wanted}")) }
}

fn nearest(name: &str, names: &[Name]) -> Option<&'static str> {
    let near = |known: &Name| strsim::jaro_winkler(name, known.name);
    let best = names.iter().max_by(|a, b| near(a).total_cmp(&near(b)))?;
    (near(best) >= NEAR).then_some(best.name)
}
