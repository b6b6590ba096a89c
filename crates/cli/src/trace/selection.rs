//! Turns the names and times of the command line into a filter of records.

use std::collections::BTreeSet;
use std::path::Path;

use tulipgap_trace::{Dictionary, Filter, Micros, Outcome, Survey, TraceReader};

use crate::args::Selection;
use crate::error::{ArgumentError, CliError};
use crate::input::Input;

/// Surveys a file and creates the filter for it. An empty selection matches all records.
pub(super) fn survey_and_filter(
    reader: &mut TraceReader<Input>,
    path: &Path,
    selection: &Selection,
) -> Result<(Survey, Filter), CliError> {
    let survey = reader.survey().map_err(CliError::trace(path))?;
    let first = survey
        .index
        .time_span()
        .map_or(reader.header().start, |(from, _)| from);
    let filter = filter(selection, first, reader.dictionary())?;
    Ok((survey, filter))
}

/// The filter for a file whose first record has the time `first` and whose dictionary is `names`.
fn filter(
    selection: &Selection,
    first: Micros,
    names: &Dictionary,
) -> Result<Filter, ArgumentError> {
    let mut handlers = BTreeSet::new();
    for name in &selection.handlers {
        handlers.extend(handlers_of_name(name, names)?);
    }
    let outcome = |name: &String| {
        Outcome::from_name(name).ok_or_else(|| ArgumentError::UnknownOutcome(name.clone()))
    };
    let outcomes: BTreeSet<Outcome> = selection
        .outcomes
        .iter()
        .map(outcome)
        .collect::<Result<_, _>>()?;
    let from = selection.from.map(|from| from.unix_time(first));
    let to = selection.to.map(|to| to.unix_time(first));
    if let (Some(from), Some(to)) = (from, to)
        && from >= to
    {
        return Err(ArgumentError::EmptyTimeSpan);
    }
    Ok(Filter {
        from,
        to,
        handlers: (!selection.handlers.is_empty()).then_some(handlers),
        outcomes: (!selection.outcomes.is_empty()).then_some(outcomes),
    })
}

/// The indices of the handlers of that name; a merged file may have several, with different
/// parameters.
fn handlers_of_name(name: &str, names: &Dictionary) -> Result<Vec<u32>, ArgumentError> {
    let named = names
        .handlers
        .iter()
        .enumerate()
        .filter(|(_, handler)| handler.name == name);
    let indices: Vec<u32> = named.map(|(index, _)| index as u32).collect();
    if indices.is_empty() {
        let known = names
            .handlers
            .iter()
            .map(|handler| handler.name.clone())
            .collect();
        return Err(ArgumentError::UnknownHandler {
            name: name.to_owned(),
            known,
        });
    }
    Ok(indices)
}
