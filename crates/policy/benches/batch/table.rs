//! Output of the rows as text and as CSV.

use std::fmt::Write;

use clap::ValueEnum;

use crate::{Case, measurements::Measurements};

const COLUMNS: [&str; 17] = [
    "deployment",
    "scenario",
    "policy",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "peak_p99_ms",
    "refused",
    "tasks_per_h",
    "cores_used",
    "evictions_per_h",
    "throttles_per_min",
    "reversals_per_min",
    "short_wait_p50_s",
    "short_wait_p99_s",
    "other_wait_p99_s",
    "failures_per_h",
];

/// Returns the rows as an aligned table.
pub fn aligned(rows: &[(Case, Measurements)]) -> String {
    let mut text = String::new();
    let mut line = |cells: &[String]| {
        let mut line = String::new();
        for (column, cell) in COLUMNS.iter().zip(cells) {
            let width = column.len().max(9);
            let _ = write!(line, "{cell:>width$} ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    };
    line(&COLUMNS.map(str::to_owned));
    for row in rows {
        line(&cells(row));
    }
    text
}

/// Returns the rows as CSV with a header.
pub fn csv(rows: &[(Case, Measurements)]) -> String {
    let mut text = COLUMNS.join(",");
    for row in rows {
        let _ = write!(text, "\n{}", cells(row).join(","));
    }
    text.push('\n');
    text
}

fn cells(((deployment, scenario, policy), measurements): &(Case, Measurements)) -> Vec<String> {
    let hours = measurements.seconds as f64 / 3_600.0;
    let lookup = |share| measurements.lookups.value_at_quantile(share) as f64 / 1_000.0;
    let at_peak = measurements.at_peak.value_at_quantile(0.99) as f64 / 1_000.0;
    let short = |share| measurements.short_wait.value_at_quantile(share) as f64 / 1_000.0;
    let other = measurements.other_wait.value_at_quantile(0.99) as f64 / 1_000.0;
    vec![
        name(deployment),
        name(scenario),
        name(policy),
        format!("{:.1}", lookup(0.5)),
        format!("{:.1}", lookup(0.99)),
        format!("{:.1}", lookup(0.999)),
        format!("{at_peak:.1}"),
        measurements.refused.to_string(),
        format!("{:.0}", measurements.finished as f64 / hours),
        format!("{:.1}", measurements.work / measurements.seconds as f64),
        format!("{:.1}", measurements.evictions as f64 / hours),
        format!("{:.2}", measurements.throttles as f64 / hours / 60.0),
        format!("{:.2}", measurements.reversals as f64 / hours / 60.0),
        format!("{:.2}", short(0.5)),
        format!("{:.2}", short(0.99)),
        format!("{other:.1}"),
        format!("{:.1}", measurements.failures as f64 / hours),
    ]
}

fn name(value: &impl ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}
