//! The commands on recordings.

use std::collections::BTreeMap;
use std::io::{self, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tulipgap_trace::*;

use crate::args::{Choice, Form, Output as Out, TraceCommand};
use crate::export::{Told, csv_head, csv_line, json_line};
use crate::files::*;
use crate::report;
use crate::times::{Offset, span};

type Ended = Result<Verdict, Failure>;

pub fn run(command: TraceCommand) -> Ended {
    match command {
        TraceCommand::Info { files, json } => info(&files, json),
        TraceCommand::Cut { file, choice, output } => cut(&file, &choice, &output),
        TraceCommand::Merge { files, output, offset, estimate } => merged(&files, &output, &offset, estimate),
        TraceCommand::Anonymise { file, output, key_file, key_fd, tenants, servers, handlers } => {
            let key = read_key(key_file.as_deref(), key_fd)?;
            anonymised(&file, &output, &key, Hiding { tenants, servers, handlers })
        }
        TraceCommand::Summary { files, choice, json, by_minute } => summary(&files, &choice, json, by_minute),
        TraceCommand::Check { files, json } => checked(&files, json),
        TraceCommand::Repair { file, output } => repair(&file, &output),
        TraceCommand::Export { file, choice, output, form } => export(&file, &choice, &output, form),
        TraceCommand::Synth { minutes, rate, seed, cores, server, output, raw } => {
            if !(minutes.is_finite() && minutes > 0.0 && minutes <= 60.0 * 24.0 * 31.0) {
                return Err(Failure::Usage(format!("--minutes {minutes}: more than 0, and a month at most")));
            }
            if !(rate.is_finite() && rate > 0.0 && rate <= 1e6) {
                return Err(Failure::Usage(format!("--rate {rate}: more than 0, and 1000000 at most")));
            }
            let load =
                Load { span: (minutes * 60e6) as Micros, rate, seed, cores: cores.max(1), ..Load::default() };
            synthetic(&load, &server, &output, raw.as_deref())
        }
    }
}

fn failed(path: &Path) -> impl Fn(TraceError) -> Failure {
    let path = path.display().to_string();
    move |error| Failure::Trace { path: path.clone(), error }
}

/// What a choice asks of a file, whose handlers have these names.
fn wanted(choice: &Choice, first: Micros, names: &Names) -> Result<Wanted, Failure> {
    let handlers = |name: &String| -> Result<Vec<u32>, Failure> {
        let known = names.handlers.iter().enumerate().filter(|(_, handler)| handler.name == *name);
        let places: Vec<u32> = known.map(|(at, _)| at as u32).collect();
        if places.is_empty() {
            let all: Vec<&str> = names.handlers.iter().map(|handler| &handler.name[..]).collect();
            return Err(Failure::Usage(format!(
                "there is no handler '{name}'; there are {}",
                all.join(", ")
            )));
        }
        Ok(places)
    };
    let outcome = |name: &String| {
        let unknown = || Failure::Usage(format!("'{name}' is no outcome: done, shed, errored or gone"));
        Outcome::of_name(name).ok_or_else(unknown)
    };
    let some_handlers: Vec<u32> =
        choice.handler.iter().map(handlers).collect::<Result<Vec<_>, _>>()?.into_iter().flatten().collect();
    let outcomes = choice.outcome.iter().map(outcome).collect::<Result<_, _>>()?;
    Ok(Wanted {
        from: choice.from.map(|from| from.since(first)),
        to: choice.to.map(|to| to.since(first)),
        handlers: (!choice.handler.is_empty()).then(|| some_handlers.into_iter().collect()),
        outcomes: (!choice.outcome.is_empty()).then_some(outcomes),
    })
}

/// A file's survey and what a choice asks of it; an empty choice is all there is.
fn choose(trace: &mut Trace<Input>, path: &Path, choice: &Choice) -> Result<(Survey, Wanted), Failure> {
    let survey = trace.survey().map_err(failed(path))?;
    let first = survey.index.span().map_or(trace.head().start, |span| span.0);
    let wanted = wanted(choice, first, trace.names())?;
    if let (Some(from), Some(to)) = (wanted.from, wanted.to)
        && from >= to
    {
        return Err(Failure::Usage("--from lies at or behind --to".into()));
    }
    Ok((survey, wanted))
}

/// The head of a file that is made from others.
fn head_of(version: u32, server: &str, start: Micros) -> Head {
    Head { names: Names::default(), ..Head::new(version, rand::random(), server, start) }
}

fn say_left_out<W: Write>(writer: &Writer<W>) {
    let left_out = writer.left_out();
    if !left_out.is_empty() {
        eprintln!("tulipgap: format {} has no place for {}", writer.head().version, left_out.join(", "));
    }
}

fn info(paths: &[PathBuf], json: bool) -> Ended {
    let mut verdict = Verdict::Whole;
    let mut out = BufWriter::new(io::stdout());
    for path in paths {
        let mut trace = open(path)?;
        let survey = trace.survey().map_err(failed(path))?;
        let bytes = std::fs::metadata(path).map_or(0, |file| file.len());
        let head = trace.head().clone();
        let mut told = report::Info::new(path, &head, trace.names(), &survey, bytes);
        for place in survey.index.places() {
            // A damaged block has no sizes; `check` tells of it.
            if let Ok(sizes) = trace.sizes(place) {
                told.add_columns(sizes, &head);
            }
        }
        if json {
            serde_json::to_writer(&mut out, &told).map_err(io::Error::from)?;
            writeln!(out)?;
        } else {
            told.write(&mut out)?;
        }
        out.flush()?;
        verdict = verdict.and(say_losses(path, &survey.losses));
    }
    Ok(verdict)
}

fn cut(path: &Path, choice: &Choice, output: &Out) -> Ended {
    let mut trace = open(path)?;
    let (survey, wanted) = choose(&mut trace, path, choice)?;
    let head = head_of(output.format, &trace.head().server.clone(), trace.head().start);
    let mut writer = Writer::new(Output::new(&output.output)?, head, Pace::default())?;
    let done = copy_surveyed(trace, survey, &wanted, &mut writer, |_| {})?;
    finish(path, writer, &done.losses, &done.unknown)?;
    if done.records == 0 {
        eprintln!("tulipgap: {}: no record is of that choice", path.display());
    }
    Ok(Verdict::Whole.and(done.losses.is_empty() && done.records > 0))
}

/// Ends a file that was made, and says what it lacks.
fn finish(path: &Path, writer: Writer<Output>, losses: &[Loss], unknown: &[String]) -> Result<(), Failure> {
    say_left_out(&writer);
    writer.finish()?.0.commit()?;
    say_losses(path, losses);
    say_unknown(path, unknown);
    Ok(())
}

fn repair(path: &Path, output: &Out) -> Ended {
    let trace = open(path)?;
    let head = head_of(output.format, &trace.head().server.clone(), trace.head().start);
    let mut writer = Writer::new(Output::new(&output.output)?, head, Pace::default())?;
    let done = stream(trace, &Wanted::default(), &mut writer, |_| {})?;
    finish(path, writer, &done.losses, &done.unknown)?;
    eprintln!("tulipgap: {}: {} records were whole", path.display(), done.records);
    Ok(Verdict::Whole.and(done.losses.is_empty()))
}

fn anonymised(path: &Path, output: &Path, key: &Key, hiding: Hiding) -> Ended {
    let trace = open(path)?;
    let mut out = Output::new(output)?;
    let done = anonymise(trace, key, hiding, &mut out)?;
    out.commit()?;
    say_unknown(path, &done.unknown);
    Ok(Verdict::Whole.and(say_losses(path, &done.losses)))
}

/// The key, from a file, a descriptor or standard input; never from the command line, where others see it.
fn read_key(file: Option<&Path>, descriptor: Option<u32>) -> Result<Key, Failure> {
    const KEY_MOST: u64 = 64 * 1024;
    let path = match (file, descriptor) {
        (Some(path), _) => path.to_owned(),
        (None, Some(descriptor)) => PathBuf::from(format!("/dev/fd/{descriptor}")),
        (None, None) => return Err(Failure::Usage("no key is given".into())),
    };
    let unread = |error| Failure::File { path: path.display().to_string(), error };
    let mut text = Vec::new();
    let read = if is_stream(&path) {
        io::stdin().take(KEY_MOST).read_to_end(&mut text)
    } else {
        std::fs::File::open(&path).and_then(|file| file.take(KEY_MOST).read_to_end(&mut text))
    };
    read.map_err(unread)?;
    Key::new(&text).map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))
}

/// Opens files as sources of a merge, with what was said of their clocks.
fn sources(paths: &[PathBuf], offsets: &BTreeMap<String, Micros>) -> Result<Vec<Source<Input>>, Failure> {
    let source = |path: &PathBuf| {
        let trace = open(path)?;
        let offset = offsets.get(&trace.head().server).copied().unwrap_or(0);
        Ok(Source { name: path.display().to_string(), trace, offset })
    };
    paths.iter().map(source).collect()
}

fn merged(paths: &[PathBuf], output: &Path, offsets: &[Offset], estimate: bool) -> Ended {
    let mut told: BTreeMap<String, Micros> = BTreeMap::new();
    if estimate {
        for (server, clock) in estimated(paths)? {
            match clock.offset {
                Some(offset) => {
                    let (by, within) = (offset as f64 / 1e6, clock.within as f64 / 1e6);
                    eprintln!("tulipgap: clock of {server}: {by:+.6} s, within {within:.6} s");
                    told.insert(server, offset);
                }
                None => eprintln!("tulipgap: clock of {server}: no tries tell; taken as it is"),
            }
        }
    }
    told.extend(offsets.iter().map(|offset| (offset.server.clone(), offset.by)));
    let sources = sources(paths, &told)?;
    let known = |server: &&String| sources.iter().any(|one| one.trace.head().server == **server);
    if let Some(server) = told.keys().find(|server| !known(server)) {
        return Err(Failure::Usage(format!("--offset: no file is of server '{server}'")));
    }
    let start = sources.iter().map(|source| source.trace.head().start).min().unwrap_or(0);
    let mut writer = Writer::new(Output::new(output)?, head_of(NEWEST, "merged", start), Pace::default())?;
    let bar = progress("merging", 0);
    let done = merge(sources, &mut writer, |records, all| {
        bar.set_length(all);
        bar.set_position(records);
    })?;
    bar.finish_and_clear();
    writer.finish()?.0.commit()?;
    for (path, first) in &done.twice {
        eprintln!("tulipgap: {path} is the same file as {first}; it was taken once");
    }
    if done.same > 0 {
        eprintln!(
            "tulipgap: {} records came more than once, the same in everything; one of each was kept",
            done.same
        );
    }
    for (name, loss) in &done.losses {
        eprintln!("tulipgap: {name}: {loss}");
    }
    Ok(Verdict::Whole.and(done.losses.is_empty()))
}

/// How far the clocks of servers are apart. Records come by way of a merge as the clocks stand.
fn estimated(paths: &[PathBuf]) -> Result<Vec<(String, Clock)>, Failure> {
    let spool = tempfile::tempfile()?;
    let mut writer = Writer::new(BufWriter::new(spool), head_of(NEWEST, "merged", 0), Pace::default())?;
    merge(sources(paths, &BTreeMap::new())?, &mut writer, |_, _| {})?;
    let servers = writer.names().servers.clone();
    let (out, _) = writer.finish()?;
    let mut spool = out.into_inner().map_err(io::IntoInnerError::into_error)?;
    io::Seek::rewind(&mut spool)?;
    let path = Path::new("merged");
    let trace = Trace::open(io::BufReader::new(spool)).map_err(failed(path))?;
    let mut trouble = None;
    let records = trace.flat_map(|item| match item {
        Ok(Item::Records(records)) => records,
        Ok(_) => Vec::new(),
        Err(error) => {
            trouble = Some(error);
            Vec::new()
        }
    });
    let clocks = estimate(records, &(0..servers.len() as u32).collect::<Vec<_>>());
    match trouble {
        Some(error) => Err(failed(path)(error)),
        None => Ok(servers.into_iter().zip(clocks).collect()),
    }
}

fn summary(paths: &[PathBuf], choice: &Choice, json: bool, by_minute: bool) -> Ended {
    // Several files are merged first, so that a further try meets its first one, wherever it came.
    let mut verdict = Verdict::Whole;
    let merged;
    let paths = if paths.len() > 1 {
        let folder = tempfile::tempdir()?;
        let path = folder.path().join("merged");
        verdict = self::merged(paths, &path, &[], false)?;
        merged = (folder, [path]);
        &merged.1[..]
    } else {
        paths
    };
    let path = &paths[0];
    let mut trace = open(path)?;
    let (survey, wanted) = choose(&mut trace, path, choice)?;
    let all = survey.index.records();
    let mut trace = trace.again().map_err(failed(path))?.wanted(wanted);
    let bar = progress("summing up", all);
    let mut summary = Summary::new(by_minute);
    let (mut losses, mut gaps, mut read) = (Vec::new(), Vec::new(), 0);
    while let Some(item) = trace.next() {
        match item.map_err(failed(path))? {
            Item::Records(records) => {
                read += records.len() as u64;
                bar.set_position(read);
                records.iter().for_each(|record| summary.add(record, trace.names()));
            }
            Item::Gap(gap) => gaps.push(gap),
            Item::Loss(loss) => losses.push(loss),
        }
    }
    bar.finish_and_clear();
    let rows = summary.rows();
    let mut out = BufWriter::new(io::stdout());
    if json {
        serde_json::to_writer(&mut out, &rows).map_err(io::Error::from)?;
        writeln!(out)?;
    } else {
        report::summary(&mut out, &rows)?;
    }
    out.flush()?;
    for gap in &gaps {
        eprintln!("tulipgap: {}: gap: {}", path.display(), report::told(gap));
    }
    say_unknown(path, &trace.unknown());
    let missing = gaps.iter().any(|gap| gap.records != Some(0));
    Ok(verdict.and(say_losses(path, &losses) && !missing))
}

fn checked(paths: &[PathBuf], json: bool) -> Ended {
    let mut verdict = Verdict::Whole;
    let mut out = BufWriter::new(io::stdout());
    for path in paths {
        let found = check(open(path)?).map_err(failed(path))?;
        let told = report::Checked::new(path, found);
        if json {
            serde_json::to_writer(&mut out, &told).map_err(io::Error::from)?;
            writeln!(out)?;
        } else {
            told.write(&mut out)?;
        }
        verdict = verdict.and(told.sound);
    }
    out.flush()?;
    Ok(verdict)
}

fn export(path: &Path, choice: &Choice, output: &Path, form: Form) -> Ended {
    let mut trace = open(path)?;
    let (_, wanted) = choose(&mut trace, path, choice)?;
    let mut trace = trace.again().map_err(failed(path))?.wanted(wanted);
    let mut out = Output::new(output)?;
    if matches!(form, Form::Csv) {
        csv_head(&mut out)?;
    }
    let mut losses = Vec::new();
    while let Some(item) = trace.next() {
        match item.map_err(failed(path))? {
            Item::Records(records) => {
                for record in &records {
                    let told = Told { record, names: trace.names() };
                    match form {
                        Form::Jsonl => json_line(&mut out, &told)?,
                        Form::Csv => csv_line(&mut out, &told)?,
                    }
                }
            }
            Item::Gap(gap) => eprintln!("tulipgap: {}: gap: {}", path.display(), report::told(&gap)),
            Item::Loss(loss) => losses.push(loss),
        }
    }
    out.commit()?;
    say_unknown(path, &trace.unknown());
    Ok(Verdict::Whole.and(say_losses(path, &losses)))
}

/// A folder that is one file: what a recording of synthetic load goes to.
struct Single(Arc<Mutex<Option<Output>>>);

struct Shared(Arc<Mutex<Option<Output>>>);

impl Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.0.lock() {
            Ok(mut out) => out.as_mut().map_or(Ok(0), |out| out.write(bytes)),
            Err(_) => Err(io::Error::other("the output is gone")),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match self.0.lock() {
            Ok(mut out) => out.as_mut().map_or(Ok(()), |out| out.flush()),
            Err(_) => Err(io::Error::other("the output is gone")),
        }
    }
}

impl Folder for Single {
    type File = Shared;

    fn list(&mut self) -> io::Result<Vec<(u64, u64)>> {
        Ok(Vec::new())
    }

    fn create(&mut self, number: u64) -> io::Result<Shared> {
        // All goes to one file, so a second one is a failure that ended the first.
        if number == 1 { Ok(Shared(self.0.clone())) } else { Err(io::Error::other("the output failed")) }
    }

    fn sync(&mut self, _: &mut Shared) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}

fn synthetic(load: &Load, server: &str, output: &Out, raw: Option<&Path>) -> Ended {
    let out = Arc::new(Mutex::new(Some(Output::new(&output.output)?)));
    let mut raw = raw.map(Output::new).transpose()?;
    let names = Load::names(server);
    let terms = Terms {
        records: 4096,
        seal_after: Duration::from_secs(5),
        rotate_bytes: u64::MAX / 4,
        rotate_after: Duration::MAX / 4,
        keep_bytes: u64::MAX / 2,
    };
    let told = Recording {
        version: output.format,
        server: server.to_owned(),
        names: names.clone(),
        terms,
        queue: 1,
    };
    let mut pen = Pen::new(Single(out.clone()), told, load.start, u128::from(load.seed));
    pen.start();
    let bar = progress("recording", load.span as u64 / 1_000_000);
    let (mut trouble, mut count) = (None, 0u64);
    let mut at = Duration::ZERO;
    synth(load, |over, record| {
        at = Duration::from_micros(u64::try_from(over - load.start).unwrap_or(0));
        bar.set_position(at.as_secs());
        if let Some(raw) = &mut raw
            && let Err(error) = json_line(raw, &Told { record: &record, names: &names })
        {
            trouble.get_or_insert(Failure::Io(error));
        }
        count += 1;
        pen.record(at, record);
    });
    bar.finish_and_clear();
    let lost = pen.lost();
    let (_, _, failure) = pen.end(at);
    if let Some(failure) = trouble {
        return Err(failure);
    }
    if let Some(failure) = failure.filter(|_| lost > 0) {
        return Err(Failure::Usage(format!(
            "{}: {failure}; {lost} records were lost",
            output.output.display()
        )));
    }
    if let Some(raw) = raw {
        raw.commit()?;
    }
    let out = out.lock().ok().and_then(|mut out| out.take());
    if let Some(out) = out {
        out.commit()?;
    }
    eprintln!("tulipgap: {count} records of {}", span(load.span));
    Ok(Verdict::Whole)
}
