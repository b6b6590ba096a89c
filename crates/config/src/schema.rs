//! The schema of the file: its blocks, their keys, and the type of value that each key takes.

use hcl_edit::expr::Expression;

/// The type of value that a key takes.
#[derive(Clone, Copy)]
pub(crate) enum ValueType {
    Text,
    Flag,
    /// A non-negative integer.
    Integer,
    /// A duration such as "2s" or "1h 30m".
    Duration,
    /// A size such as "64 MiB".
    Size,
    /// A number from 0 to 1.
    Fraction,
    /// A list of strings.
    TextList,
    Block(&'static [Key]),
}

impl ValueType {
    /// A description of the type for messages.
    pub(crate) fn description(self) -> &'static str {
        match self {
            ValueType::Text => "a quoted string",
            ValueType::Flag => "true or false",
            ValueType::Integer => "a non-negative integer",
            ValueType::Duration => "a duration such as \"2s\" or \"1h 30m\"",
            ValueType::Size => "a size such as \"64 MiB\"",
            ValueType::Fraction => "a number from 0 to 1",
            ValueType::TextList => "a list of strings such as [\"10.1.0.0/16\"]",
            ValueType::Block(_) => "a block",
        }
    }

    /// Whether a value is of this type. Ranges are checked later.
    pub(crate) fn accepts(self, value: &Expression) -> bool {
        match self {
            ValueType::Text => text(value).is_some(),
            ValueType::Flag => matches!(value, Expression::Bool(_)),
            ValueType::Integer => is_integer(value),
            ValueType::Duration => text(value)
                .is_some_and(|text| humantime_serde::re::humantime::parse_duration(text).is_ok()),
            ValueType::Size => {
                is_integer(value)
                    || text(value).is_some_and(|text| text.parse::<bytesize::ByteSize>().is_ok())
            }
            ValueType::Fraction => {
                matches!(value, Expression::Number(number) if number.as_f64().is_some())
            }
            ValueType::TextList => {
                matches!(value, Expression::Array(values) if values.iter().all(|value| text(value).is_some()))
            }
            ValueType::Block(_) => false,
        }
    }
}

fn text(value: &Expression) -> Option<&str> {
    match value {
        Expression::String(text) => Some(text.as_str()),
        _ => None,
    }
}

fn is_integer(value: &Expression) -> bool {
    matches!(value, Expression::Number(number) if number.as_u64().is_some())
}

/// A key, or a block.
#[derive(Clone, Copy)]
pub(crate) struct Key {
    pub(crate) name: &'static str,
    pub(crate) value_type: ValueType,
    pub(crate) is_required: bool,
}

const fn optional(name: &'static str, value_type: ValueType) -> Key {
    Key {
        name,
        value_type,
        is_required: false,
    }
}

const fn required(name: &'static str, value_type: ValueType) -> Key {
    Key {
        name,
        value_type,
        is_required: true,
    }
}

/// Keys of the block `trace`.
const TRACE: &[Key] = &[
    optional("enabled", ValueType::Flag),
    required("folder", ValueType::Text),
    optional("format", ValueType::Integer),
    optional("queue", ValueType::Integer),
    optional("block", ValueType::Integer),
    optional("seal_after", ValueType::Duration),
    optional("rotate_size", ValueType::Size),
    optional("rotate_after", ValueType::Duration),
    optional("keep_size", ValueType::Size),
    optional("sync", ValueType::Flag),
];
/// Keys of the blocks `admission.address`, `admission.network` and `admission.wide`.
const NETWORK_LIMIT: &[Key] = &[
    optional("open", ValueType::Integer),
    optional("rate", ValueType::Integer),
];
/// Keys of the block `admission`.
const ADMISSION: &[Key] = &[
    optional("enabled", ValueType::Flag),
    optional("when_full", ValueType::Text),
    optional("known_part", ValueType::Fraction),
    optional("known", ValueType::TextList),
    optional("half_life", ValueType::Duration),
    optional("cold_part", ValueType::Fraction),
    optional("address", ValueType::Block(NETWORK_LIMIT)),
    optional("network", ValueType::Block(NETWORK_LIMIT)),
    optional("wide", ValueType::Block(NETWORK_LIMIT)),
];
/// Keys of the block `cluster.drain`.
const DRAIN: &[Key] = &[optional("at_once", ValueType::Integer)];
/// Keys of the block `cluster.trial`.
const FAULT_INJECTION: &[Key] = &[
    optional("witness", ValueType::Text),
    optional("leases", ValueType::TextList),
    optional("routes", ValueType::TextList),
    optional("clock_rate", ValueType::Fraction),
    optional("disk_trouble", ValueType::Text),
];
/// Keys of the block `cluster`.
const CLUSTER: &[Key] = &[
    optional("enabled", ValueType::Flag),
    required("name", ValueType::Text),
    optional("member", ValueType::Text),
    required("listen", ValueType::Text),
    required("region", ValueType::Text),
    required("zone", ValueType::Text),
    required("key", ValueType::Text),
    optional("seeds", ValueType::TextList),
    optional("voters", ValueType::TextList),
    optional("folder", ValueType::Text),
    optional("control", ValueType::Text),
    optional("clock_off", ValueType::Fraction),
    optional("drain", ValueType::Block(DRAIN)),
    optional("trial", ValueType::Block(FAULT_INJECTION)),
];
/// Blocks at the top level of the file.
pub(crate) const FILE: &[Key] = &[
    optional("trace", ValueType::Block(TRACE)),
    optional("admission", ValueType::Block(ADMISSION)),
    optional("cluster", ValueType::Block(CLUSTER)),
];

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown
/// one.
const MIN_SIMILARITY: f64 = 0.7;

/// The known key that an unknown one is likely to mean.
pub(crate) fn nearest_name(name: &str, keys: &[Key]) -> Option<&'static str> {
    let similarity = |key: &Key| strsim::jaro_winkler(name, key.name);
    let best = keys
        .iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(best) >= MIN_SIMILARITY).then_some(best.name)
}
