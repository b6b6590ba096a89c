//! The columns of a record: one table for writer, reader and documentation, with the name of each
//! column, the kind of its values, its first format version and the prediction of its values.

use crate::record::{Outcome, Reason, Record};
use crate::varint::{zigzag_decode, zigzag_encode};

/// The kind of the values of a column. Stored by position: the order of the variants is part of the
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// A number without sign.
    Unsigned,
    /// A signed number of microseconds; stored in zigzag form.
    Signed,
    /// The bits of an IEEE double.
    Float,
    /// An index into a dictionary, or a member of a closed set.
    Name,
    /// 0 or 1.
    Flag,
}

impl ColumnKind {
    /// All kinds, in the order of their stored numbers.
    const ALL: [ColumnKind; 5] = [
        ColumnKind::Unsigned,
        ColumnKind::Signed,
        ColumnKind::Float,
        ColumnKind::Name,
        ColumnKind::Flag,
    ];

    /// The stored number of the kind.
    pub(crate) fn code(self) -> u8 {
        ColumnKind::ALL
            .iter()
            .position(|&kind| kind == self)
            .unwrap_or_default() as u8
    }

    /// The name of the kind in a header.
    pub fn name(self) -> &'static str {
        match self {
            ColumnKind::Unsigned => "unsigned",
            ColumnKind::Signed => "signed",
            ColumnKind::Float => "float",
            ColumnKind::Name => "name",
            ColumnKind::Flag => "flag",
        }
    }
}

/// The prediction of a value; the difference to the prediction is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prediction {
    /// No prediction: the value itself is stored.
    Zero,
    /// The value of the same column in the previous record that has one.
    PreviousRecord,
    /// The value of the column with this id in the same record; 0 if the record has none.
    OtherColumn(u8),
}

/// One column of the format.
pub struct Column {
    /// The id of the column in blocks, which is never reused for another column.
    pub id: u8,
    /// The name of the column in headers and exports.
    pub name: &'static str,
    /// The kind of the values.
    pub kind: ColumnKind,
    /// The first format version that has the column.
    pub(crate) since: u32,
    /// The maximum width of a value in bits, in version 1 and from version 2 on.
    bits: [u32; 2],
    /// The prediction of the values.
    pub(crate) prediction: Prediction,
    /// Reads the value of the column from a record, if the record has one.
    pub get: fn(&Record) -> Option<u64>,
    /// Sets the value of the column in a record; false if the value is invalid.
    pub(crate) set: fn(&mut Record, u64) -> bool,
}

impl Column {
    /// The maximum width of a value in bits, in a format version.
    pub(crate) fn max_bits(&self, version: u32) -> u32 {
        self.bits[usize::from(version > 1)]
    }
}

macro_rules! signed {
    ($field:ident) => {
        (
            |record| record.$field.map(zigzag_encode),
            |record, value| {
                record.$field = Some(zigzag_decode(value));
                true
            },
        )
    };
}
macro_rules! optional {
    ($field:ident) => {
        (
            |record| record.$field,
            |record, value| {
                record.$field = Some(value);
                true
            },
        )
    };
}
macro_rules! required {
    ($field:ident) => {
        (
            |record| Some(u64::from(record.$field)),
            |record, value| {
                let Ok(number) = u32::try_from(value) else {
                    return false;
                };
                record.$field = number;
                true
            },
        )
    };
}
macro_rules! flag {
    ($field:ident) => {
        (
            |record| Some(u64::from(record.$field)),
            |record, value| {
                record.$field = value == 1;
                value < 2
            },
        )
    };
}

/// The functions that read the value of a column from a record and set it; setting returns false
/// for an invalid value.
type Access = (fn(&Record) -> Option<u64>, fn(&mut Record, u64) -> bool);

const fn column(
    id: u8,
    name: &'static str,
    kind: ColumnKind,
    since: u32,
    bits: [u32; 2],
    prediction: Prediction,
    (get, set): Access,
) -> Column {
    Column {
        id,
        name,
        kind,
        since,
        bits,
        prediction,
        get,
        set,
    }
}

/// Id of the column with the time at which an attempt reached the machine.
pub(crate) const REACHED: u8 = 1;
/// Id of the column with the handler.
const HANDLER: u8 = 4;
/// Id of the column with the outcome.
const OUTCOME: u8 = 7;
/// Id of the column with the server.
const SERVER: u8 = 10;

/// Access to the id of the attempt, which every record has.
const ID_ACCESS: Access = (
    |record| Some(record.id),
    |record, value| {
        record.id = value;
        true
    },
);
/// Access to the tenant; an index beyond 32 bits is invalid.
const TENANT_ACCESS: Access = (
    |record| record.tenant.map(u64::from),
    |record, value| {
        record.tenant = u32::try_from(value).ok();
        record.tenant.is_some()
    },
);
/// Access to the outcome; a number that no outcome has is invalid.
const OUTCOME_ACCESS: Access = (
    |record| {
        Outcome::ALL
            .iter()
            .position(|&outcome| outcome == record.outcome)
            .map(|index| index as u64)
    },
    |record, value| {
        let known = usize::try_from(value)
            .ok()
            .and_then(|index| Outcome::ALL.get(index));
        record.outcome = known.copied().unwrap_or_default();
        known.is_some()
    },
);
/// Access to the reason; a number beyond 8 bits is invalid.
const REASON_ACCESS: Access = (
    |record| Some(u64::from(record.reason.0)),
    |record, value| {
        record.reason = Reason(value as u8);
        value <= 255
    },
);
/// Access to the caller feedback, as the bits of an IEEE double.
const FEEDBACK_ACCESS: Access = (
    |record| record.feedback.map(f64::to_bits),
    |record, value| {
        record.feedback = Some(f64::from_bits(value));
        true
    },
);
/// Access to the time at which the attempt reached the machine, in zigzag form.
const REACHED_ACCESS: Access = (
    |record| Some(zigzag_encode(record.reached)),
    |record, value| {
        record.reached = zigzag_decode(value);
        true
    },
);

/// All columns, in the order of their ids. An id is never reused for another column.
pub const COLUMNS: &[Column] = &[
    column(
        REACHED,
        "reached",
        ColumnKind::Signed,
        1,
        [64, 64],
        Prediction::PreviousRecord,
        REACHED_ACCESS,
    ),
    column(
        2,
        "read",
        ColumnKind::Signed,
        1,
        [32, 64],
        Prediction::Zero,
        signed!(read),
    ),
    column(
        3,
        "answered",
        ColumnKind::Signed,
        1,
        [32, 64],
        Prediction::OtherColumn(2),
        signed!(answered),
    ),
    column(
        HANDLER,
        "handler",
        ColumnKind::Name,
        1,
        [32, 32],
        Prediction::Zero,
        required!(handler),
    ),
    column(
        5,
        "tenant",
        ColumnKind::Name,
        1,
        [32, 32],
        Prediction::Zero,
        TENANT_ACCESS,
    ),
    column(
        6,
        "retry",
        ColumnKind::Flag,
        1,
        [1, 1],
        Prediction::Zero,
        flag!(is_retry),
    ),
    column(
        OUTCOME,
        "outcome",
        ColumnKind::Name,
        1,
        [8, 8],
        Prediction::Zero,
        OUTCOME_ACCESS,
    ),
    column(
        8,
        "reason",
        ColumnKind::Name,
        1,
        [8, 8],
        Prediction::Zero,
        REASON_ACCESS,
    ),
    column(
        9,
        "id",
        ColumnKind::Unsigned,
        1,
        [64, 64],
        Prediction::Zero,
        ID_ACCESS,
    ),
    column(
        SERVER,
        "server",
        ColumnKind::Name,
        2,
        [32, 32],
        Prediction::Zero,
        required!(server),
    ),
    column(
        11,
        "caller",
        ColumnKind::Unsigned,
        2,
        [64, 64],
        Prediction::Zero,
        optional!(caller),
    ),
    column(
        12,
        "admitted",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::OtherColumn(2),
        signed!(admitted),
    ),
    column(
        13,
        "run",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::OtherColumn(12),
        signed!(started),
    ),
    column(
        14,
        "called",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::OtherColumn(13),
        signed!(first_call),
    ),
    column(
        15,
        "over",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::OtherColumn(3),
        signed!(released),
    ),
    column(
        16,
        "patience",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::Zero,
        signed!(client_wait),
    ),
    column(
        17,
        "hint",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::Zero,
        signed!(estimated_work),
    ),
    column(
        18,
        "work",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::Zero,
        signed!(work),
    ),
    column(
        19,
        "calls",
        ColumnKind::Unsigned,
        2,
        [32, 32],
        Prediction::Zero,
        required!(calls),
    ),
    column(
        20,
        "skipped",
        ColumnKind::Unsigned,
        2,
        [32, 32],
        Prediction::Zero,
        required!(skipped_calls),
    ),
    column(
        21,
        "advice",
        ColumnKind::Float,
        2,
        [64, 64],
        Prediction::Zero,
        FEEDBACK_ACCESS,
    ),
    column(
        22,
        "subject",
        ColumnKind::Unsigned,
        2,
        [64, 64],
        Prediction::Zero,
        optional!(subject),
    ),
    column(
        23,
        "key",
        ColumnKind::Unsigned,
        2,
        [64, 64],
        Prediction::Zero,
        optional!(key),
    ),
    column(
        24,
        "wait",
        ColumnKind::Signed,
        2,
        [64, 64],
        Prediction::Zero,
        signed!(retry_after),
    ),
    column(
        25,
        "no_more",
        ColumnKind::Flag,
        2,
        [1, 1],
        Prediction::Zero,
        flag!(no_retry),
    ),
];

/// The columns that a format version has.
pub(crate) fn of_version(version: u32) -> impl Iterator<Item = &'static Column> {
    COLUMNS.iter().filter(move |column| column.since <= version)
}

/// The column with an id, if the id is known.
pub(crate) fn by_id(id: u8) -> Option<&'static Column> {
    COLUMNS.iter().find(|column| column.id == id)
}
