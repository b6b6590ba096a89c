//! The messages between an edge node and a backend: framed strict binary Thrift.

use std::io::{self, Read};

const VERSION: u32 = 0x8001_0000;
const CALL: u32 = 1;
const REPLY: u32 = 2;
const EXCEPTION: u32 = 3;
const ONEWAY: u32 = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

pub type Fields = Vec<(String, String)>;

/// What a backend sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served {
        body: Vec<u8>,
        fields: Fields,
        good: bool,
    },
    Refused {
        fields: Fields,
    },
    Failed {
        fields: Fields,
    },
    Exception(String),
    /// The one-way message `noMore`.
    NoMore,
}

impl Answer {
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served { .. } => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed { .. } => "failed",
            Answer::Exception(_) => "exception",
            Answer::NoMore => "noMore",
        }
    }
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn frame(kind: u32, name: &str, sequence: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = Vec::new();
    message.extend((VERSION | kind).to_be_bytes());
    string(&mut message, name.as_bytes());
    message.extend(sequence.to_be_bytes());
    message.extend(arguments);
    let mut out = (message.len() as u32).to_be_bytes().to_vec();
    out.extend(message);
    out
}

/// A call of `process`.
pub fn process(sequence: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![MAP, 0, 1, STRING, STRING];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        string(&mut arguments, name.as_bytes());
        string(&mut arguments, value.as_bytes());
    }
    arguments.extend([STRING, 0, 2]);
    string(&mut arguments, body);
    arguments.push(STOP);
    frame(CALL, "process", sequence, &arguments)
}

/// A health check.
pub fn probe(sequence: i32, real: bool) -> Vec<u8> {
    frame(CALL, "probe", sequence, &[BOOL, 0, 1, u8::from(real), STOP])
}

struct Input<'a>(&'a [u8]);

impl Input<'_> {
    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    fn u8(&mut self) -> io::Result<u8> {
        Ok(self.take(1)?[0])
    }

    fn u32(&mut self) -> io::Result<u32> {
        Ok(u32::from_be_bytes(self.take(4)?.try_into().unwrap()))
    }

    fn string(&mut self) -> io::Result<Vec<u8>> {
        let length = self.u32()? as usize;
        if length > 1 << 20 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.take(length)
    }

    fn map(&mut self) -> io::Result<Fields> {
        self.take(2)?;
        let count = self.u32()?;
        let mut fields = Vec::new();
        for _ in 0..count {
            let (name, value) = (self.string()?, self.string()?);
            fields.push((
                String::from_utf8_lossy(&name).into_owned(),
                String::from_utf8_lossy(&value).into_owned(),
            ));
        }
        Ok(fields)
    }
}

/// Decodes a message of a backend, without its frame length.
pub fn decode(message: &[u8]) -> io::Result<(i32, Answer)> {
    let mut input = Input(message);
    let head = input.u32()?;
    let name = input.string()?;
    let sequence = input.u32()? as i32;
    let kind = head & 0xff;
    if kind == ONEWAY && name == b"noMore" {
        return Ok((sequence, Answer::NoMore));
    }
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    if kind == EXCEPTION {
        let mut text = Vec::new();
        loop {
            match input.u8()? {
                STOP => break,
                STRING => {
                    input.take(2)?;
                    text = input.string()?;
                }
                I32 => {
                    input.take(6)?;
                }
                _ => return Err(invalid()),
            }
        }
        return Ok((
            sequence,
            Answer::Exception(String::from_utf8_lossy(&text).into_owned()),
        ));
    }
    if kind != REPLY || input.u8()? != STRUCT {
        return Err(invalid());
    }
    let outcome = u16::from_be_bytes(input.take(2)?.try_into().unwrap());
    let (mut body, mut fields, mut good) = (Vec::new(), Vec::new(), false);
    loop {
        match input.u8()? {
            STOP => break,
            STRING => {
                input.take(2)?;
                body = input.string()?;
            }
            MAP => {
                input.take(2)?;
                fields = input.map()?;
            }
            BOOL => {
                input.take(2)?;
                good = input.u8()? != 0;
            }
            _ => return Err(invalid()),
        }
    }
    Ok((
        sequence,
        match outcome {
            0 => Answer::Served { body, fields, good },
            1 => Answer::Refused { fields },
            2 => Answer::Failed { fields },
            _ => return Err(invalid()),
        },
    ))
}
