//! The text form of a gap.

use tulipgap_trace::Gap;

use crate::times::format_time;

/// A gap in one line: its reason, the number of missing records, its time span and its server.
pub(super) fn format_gap(gap: &Gap) -> String {
    let reason = serde_json::to_value(gap.reason).ok();
    let reason = reason
        .as_ref()
        .and_then(|reason| reason.as_str())
        .unwrap_or("?");
    let records = match gap.records {
        Some(0) if gap.clock_change != 0 => {
            format!(
                "the clock was set by {:.3} s",
                gap.clock_change as f64 / 1e6
            )
        }
        Some(records) => format!("{records} records are missing"),
        None => "an unknown number of records is missing".to_owned(),
    };
    let span = if gap.to == 0 {
        String::new()
    } else {
        format!(", {} to {}", format_time(gap.from), format_time(gap.to))
    };
    format!("{reason}: {records}{span} {}", gap.server)
        .trim_end()
        .to_owned()
}
