//! The columns of a record, one table for writer, reader and docs: what each is called, what it holds, since which
//! format, and how it is predicted from what stands beside it.

use crate::record::{Outcome, Reason, Record};

/// What the values of a column are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Unsigned,
    /// Microseconds before or after; stored in zigzag form.
    Signed,
    /// The bits of an IEEE double.
    Float,
    /// An index into a dictionary, or a member of a closed set.
    Name,
    Flag,
}

impl Kind {
    pub const ALL: [Kind; 5] = [Kind::Unsigned, Kind::Signed, Kind::Float, Kind::Name, Kind::Flag];

    pub fn code(self) -> u8 {
        Kind::ALL.iter().position(|&kind| kind == self).unwrap_or_default() as u8
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Unsigned => "unsigned",
            Kind::Signed => "signed",
            Kind::Float => "float",
            Kind::Name => "name",
            Kind::Flag => "flag",
        }
    }
}

/// From what a value is predicted; what is stored is the difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guess {
    Zero,
    /// The value in the record before.
    Before,
    /// The value of that column in the same record, 0 where it has none.
    Beside(u8),
}

pub struct Column {
    pub id: u8,
    pub name: &'static str,
    pub kind: Kind,
    /// The first format that has it.
    pub since: u32,
    /// How wide a value may be in format 1, and from format 2 on.
    pub bits: [u32; 2],
    pub guess: Guess,
    pub get: fn(&Record) -> Option<u64>,
    /// False where the value makes no sense there.
    pub set: fn(&mut Record, u64) -> bool,
}

pub fn zigzag(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

pub fn unzigzag(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}

macro_rules! signed {
    ($field:ident) => {
        (
            |r| r.$field.map(zigzag),
            |r, v| {
                r.$field = Some(unzigzag(v));
                true
            },
        )
    };
}
macro_rules! wide {
    ($field:ident) => {
        (
            |r| r.$field,
            |r, v| {
                r.$field = Some(v);
                true
            },
        )
    };
}
macro_rules! always {
    ($field:ident) => {
        (
            |r| Some(u64::from(r.$field)),
            |r, v| {
                let Ok(value) = u32::try_from(v) else { return false };
                r.$field = value;
                true
            },
        )
    };
}
macro_rules! flag {
    ($field:ident) => {
        (
            |r| Some(u64::from(r.$field)),
            |r, v| {
                r.$field = v == 1;
                v < 2
            },
        )
    };
}

type Access = (fn(&Record) -> Option<u64>, fn(&mut Record, u64) -> bool);

const fn column(
    id: u8,
    name: &'static str,
    kind: Kind,
    since: u32,
    bits: [u32; 2],
    guess: Guess,
    (get, set): Access,
) -> Column {
    Column { id, name, kind, since, bits, guess, get, set }
}

pub const REACHED: u8 = 1;
pub const HANDLER: u8 = 4;
pub const OUTCOME: u8 = 7;
pub const SERVER: u8 = 10;

const ID_ACCESS: Access = (
    |r| Some(r.id),
    |r, v| {
        r.id = v;
        true
    },
);
const TENANT_ACCESS: Access = (
    |r| r.tenant.map(u64::from),
    |r, v| {
        r.tenant = u32::try_from(v).ok();
        r.tenant.is_some()
    },
);
const OUTCOME_ACCESS: Access = (
    |r| Outcome::ALL.iter().position(|&o| o == r.outcome).map(|at| at as u64),
    |r, v| {
        let known = usize::try_from(v).ok().and_then(|v| Outcome::ALL.get(v));
        r.outcome = known.copied().unwrap_or_default();
        known.is_some()
    },
);
const REASON_ACCESS: Access = (
    |r| Some(u64::from(r.reason.0)),
    |r, v| {
        r.reason = Reason(v as u8);
        v <= 255
    },
);
const ADVICE_ACCESS: Access = (
    |r| r.advice.map(f64::to_bits),
    |r, v| {
        r.advice = Some(f64::from_bits(v));
        true
    },
);
const REACHED_ACCESS: Access = (
    |r| Some(zigzag(r.reached)),
    |r, v| {
        r.reached = unzigzag(v);
        true
    },
);

/// All columns, in the order of their ids. An id is never given to another meaning.
pub const COLUMNS: &[Column] = &[
    column(REACHED, "reached", Kind::Signed, 1, [64, 64], Guess::Before, REACHED_ACCESS),
    column(2, "read", Kind::Signed, 1, [32, 64], Guess::Zero, signed!(read)),
    column(3, "answered", Kind::Signed, 1, [32, 64], Guess::Beside(2), signed!(answered)),
    column(HANDLER, "handler", Kind::Name, 1, [32, 32], Guess::Zero, always!(handler)),
    column(5, "tenant", Kind::Name, 1, [32, 32], Guess::Zero, TENANT_ACCESS),
    column(6, "retry", Kind::Flag, 1, [1, 1], Guess::Zero, flag!(retry)),
    column(OUTCOME, "outcome", Kind::Name, 1, [8, 8], Guess::Zero, OUTCOME_ACCESS),
    column(8, "reason", Kind::Name, 1, [8, 8], Guess::Zero, REASON_ACCESS),
    column(9, "id", Kind::Unsigned, 1, [64, 64], Guess::Zero, ID_ACCESS),
    column(SERVER, "server", Kind::Name, 2, [32, 32], Guess::Zero, always!(server)),
    column(11, "caller", Kind::Unsigned, 2, [64, 64], Guess::Zero, wide!(caller)),
    column(12, "admitted", Kind::Signed, 2, [64, 64], Guess::Beside(2), signed!(admitted)),
    column(13, "run", Kind::Signed, 2, [64, 64], Guess::Beside(12), signed!(run)),
    column(14, "called", Kind::Signed, 2, [64, 64], Guess::Beside(13), signed!(called)),
    column(15, "over", Kind::Signed, 2, [64, 64], Guess::Beside(3), signed!(over)),
    column(16, "patience", Kind::Signed, 2, [64, 64], Guess::Zero, signed!(patience)),
    column(17, "hint", Kind::Signed, 2, [64, 64], Guess::Zero, signed!(hint)),
    column(18, "work", Kind::Signed, 2, [64, 64], Guess::Zero, signed!(work)),
    column(19, "calls", Kind::Unsigned, 2, [32, 32], Guess::Zero, always!(calls)),
    column(20, "skipped", Kind::Unsigned, 2, [32, 32], Guess::Zero, always!(skipped)),
    column(21, "advice", Kind::Float, 2, [64, 64], Guess::Zero, ADVICE_ACCESS),
    column(22, "subject", Kind::Unsigned, 2, [64, 64], Guess::Zero, wide!(subject)),
    column(23, "key", Kind::Unsigned, 2, [64, 64], Guess::Zero, wide!(key)),
    column(24, "wait", Kind::Signed, 2, [64, 64], Guess::Zero, signed!(wait)),
    column(25, "no_more", Kind::Flag, 2, [1, 1], Guess::Zero, flag!(no_more)),
];

/// The columns that a format has.
pub fn of_version(version: u32) -> impl Iterator<Item = &'static Column> {
    COLUMNS.iter().filter(move |column| column.since <= version)
}

pub fn by_id(id: u8) -> Option<&'static Column> {
    COLUMNS.iter().find(|column| column.id == id)
}
