//! Output of the results as a table and as CSV.

use std::io::{self, Write};

use clap::ValueEnum;

use crate::{
    deployment::Deployment,
    policy::Policy,
    scenario::Scenario,
    stats::{Completion, Stats},
};

/// Results of one policy in one scenario.
#[derive(Debug)]
pub struct Row {
    pub deployment: Deployment,
    pub scenario: Scenario,
    pub policy: Policy,
    pub window: Stats,
    pub whole: Stats,
}

/// Prints the results of the window of each run.
pub fn print(rows: &[Row]) {
    println!(
        "{:<8} {:<10} {:<15} {:>8} {:>9} {:>8} {:>9} {:>8} {:>8} {:>8} {:>8} {:>6}",
        "where",
        "scenario",
        "policy",
        "offered",
        "in time %",
        "late %",
        "refused %",
        "failed %",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "sends"
    );
    for row in rows {
        let stats = &row.window;
        println!(
            "{:<8} {:<10} {:<15} {:>8} {:>9.3} {:>8.3} {:>9.3} {:>8.3} {:>8.2} {:>8.2} {:>8.2} {:>6.3}",
            name(&row.deployment),
            name(&row.scenario),
            name(&row.policy),
            stats.offered(),
            stats.percent(Completion::InTime),
            stats.percent(Completion::Late),
            stats.percent(Completion::Refused),
            stats.percent(Completion::Failed),
            stats.latency_millis(0.5),
            stats.latency_millis(0.99),
            stats.latency_millis(0.999),
            stats.sends_per_request()
        );
    }
}

/// Writes the results of the window and of the whole of each run as CSV.
///
/// # Errors
///
/// Returns any error of the writer.
pub fn write_csv(rows: &[Row], mut writer: impl Write) -> io::Result<()> {
    writeln!(
        writer,
        "deployment,scenario,policy,part,in_time,late,refused,failed,sends,p50_us,p99_us,p999_us"
    )?;
    for row in rows {
        for (part, stats) in [("window", &row.window), ("whole", &row.whole)] {
            let [in_time, late, refused, failed] = stats.counts;
            let latency_at = |quantile| stats.latency_micros.value_at_quantile(quantile);
            writeln!(
                writer,
                "{},{},{},{part},{in_time},{late},{refused},{failed},{},{},{},{}",
                name(&row.deployment),
                name(&row.scenario),
                name(&row.policy),
                stats.sends,
                latency_at(0.5),
                latency_at(0.99),
                latency_at(0.999)
            )?;
        }
    }
    Ok(())
}

fn name(value: &impl ValueEnum) -> String {
    value
        .to_possible_value()
        .map(|value| value.get_name().to_owned())
        .unwrap_or_default()
}
