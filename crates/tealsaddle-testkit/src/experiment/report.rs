//! Medians over seeds, checks of targets, and tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;
use tealsaddle_core::admission::RefusalReason;

use super::Run;
use super::measure::Outcome;
use super::scenario::{PolicyKind, US_PER_S, WARM_UP_US};

/// Time after the start of a load level that is excluded from its measurements.
const SETTLING_PERIOD_US: u64 = 30 * US_PER_S;
/// Length of the compared periods before and after a fault.
const COMPARISON_PERIOD_US: u64 = 60 * US_PER_S;

/// The runs of one policy in one scenario, one per seed.
#[derive(Debug, Clone)]
pub struct RunGroup<'a> {
    /// The runs, in order of the seeds.
    pub runs: &'a [Run],
    /// Outcomes of the runs, in the same order.
    pub outcomes: &'a [Outcome],
}

/// Quantiles of a latency over the requests of all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Measurements at one load level of an overload scenario.
#[derive(Debug, Clone, Serialize)]
pub struct LoadLevel {
    /// Load relative to the capacity of the fleet in its best split.
    pub load: f64,
    /// Answers on time per second.
    pub goodput_per_s: f64,
    /// Fraction of the admitted requests answered on time.
    pub admitted_on_time_share: f64,
}

/// Medians over the seeds of a run group.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the policy.
    pub policy: String,
    /// Answers on time per second.
    pub goodput_per_s: f64,
    /// Fraction of the requests answered on time.
    pub on_time_share: f64,
    /// Fraction of the admitted requests answered on time.
    pub admitted_on_time_share: f64,
    /// Requests answered late.
    pub late: f64,
    /// Requests admitted but not answered.
    pub failed: f64,
    /// Requests refused, by reason.
    pub refused: BTreeMap<&'static str, f64>,
    /// Requests routed to another zone.
    pub spilled: f64,
    /// Number of completed role changes.
    pub role_changes: f64,
    /// Total time that engines were out of service for role changes.
    pub engine_seconds_lost: f64,
    /// Role changes before the end of the minimum dwell time, summed over all seeds.
    pub dwell_breaches: u64,
    /// Time to the first token.
    pub first_token: Quantiles,
    /// Mean time between tokens of an answer.
    pub between_tokens: Quantiles,
    /// On-time fraction after a fault relative to before, as median and minimum over the seeds;
    /// `None` if no fault occurred.
    pub recovery: Option<(f64, f64)>,
    /// Measurements by load level; empty unless the scenario is `overload`.
    pub levels: Vec<LoadLevel>,
}

/// Median of the values; 0 if there are none.
pub fn median(values: impl IntoIterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        odd if odd % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

impl RunGroup<'_> {
    fn median<F>(&self, of: F) -> f64
    where
        F: Fn(&Outcome) -> f64,
    {
        median(self.outcomes.iter().map(of))
    }

    fn quantiles<F>(&self, of: F) -> Quantiles
    where
        F: Fn(&Outcome) -> &Histogram<u64>,
    {
        let mut sum = of(&self.outcomes[0]).clone();
        for outcome in &self.outcomes[1..] {
            sum.add(of(outcome))
                .expect("the histograms have the same bounds");
        }
        let ms = |quantile| sum.value_at_quantile(quantile) as f64 / 1e3;
        Quantiles {
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
        }
    }

    /// Median over the seeds of this group's goodput relative to that of another group.
    pub fn goodput_ratio(&self, other: &Self) -> f64 {
        let pairs = self.outcomes.iter().zip(other.outcomes);
        median(pairs.map(|(a, b)| a.on_time as f64 / b.on_time.max(1) as f64))
    }

    /// For each seed, the on-time fraction after a fault relative to that before the fault. The
    /// period after the fault starts three role change times after the repair.
    fn recoveries(&self) -> Option<Vec<f64>> {
        let (from_us, ..) = self.runs[0].scenario.fault?;
        let role_change_us = self.runs[0].deployment.engine.role_change_us;
        let recovery = |outcome: &Outcome| {
            // Absent if no engine changed its role, so that `CrashInChange` had no effect.
            let recovered_us = outcome.repaired_us? + 3 * role_change_us;
            let before = outcome
                .between(from_us - COMPARISON_PERIOD_US, from_us)
                .on_time_share();
            let after = outcome
                .between(recovered_us, recovered_us + COMPARISON_PERIOD_US)
                .on_time_share();
            Some(after / before.max(1e-3))
        };
        let recoveries: Vec<f64> = self.outcomes.iter().filter_map(recovery).collect();
        (!recoveries.is_empty()).then_some(recoveries)
    }

    fn levels(&self) -> Vec<LoadLevel> {
        let scenario = &self.runs[0].scenario;
        if scenario.name != "overload" {
            return Vec::new();
        }
        let ends = scenario.phases.iter().skip(1).map(|phase| phase.from_us);
        let ends = ends.chain([scenario.length_us]);
        let phases = scenario.phases.iter().zip(ends);
        phases
            .map(|(phase, end_us)| {
                let from_us = phase.from_us.max(WARM_UP_US) + SETTLING_PERIOD_US;
                let seconds = (end_us - from_us) as f64 / US_PER_S as f64;
                let bins = || {
                    self.outcomes
                        .iter()
                        .map(|outcome| outcome.between(from_us, end_us))
                };
                LoadLevel {
                    load: phase.load,
                    goodput_per_s: median(bins().map(|bin| f64::from(bin.on_time) / seconds)),
                    admitted_on_time_share: median(
                        bins().map(|bin| f64::from(bin.on_time) / f64::from(bin.admitted.max(1))),
                    ),
                }
            })
            .collect()
    }

    /// Computes the medians of the group.
    pub fn row(&self) -> Row {
        let run = &self.runs[0];
        let seconds = (run.scenario.length_us - WARM_UP_US) as f64 / US_PER_S as f64;
        let refused = RefusalReason::ALL.iter().filter_map(|reason| {
            let refused = |o: &Outcome| o.refused.get(reason).copied().unwrap_or(0) as f64;
            let refused = self.median(refused);
            (refused > 0.0).then(|| (reason.as_str(), refused))
        });
        let recovery = self.recoveries().map(|recoveries| {
            let lowest = recoveries.iter().copied().fold(f64::INFINITY, f64::min);
            (median(recoveries), lowest)
        });
        Row {
            scenario: run.scenario.name,
            policy: run.policy.label(),
            goodput_per_s: self.median(|o| o.on_time as f64 / seconds),
            on_time_share: self.median(|o| o.on_time as f64 / o.offered as f64),
            admitted_on_time_share: self
                .median(|o| o.on_time as f64 / (o.on_time + o.late + o.failed).max(1) as f64),
            late: self.median(|o| o.late as f64),
            failed: self.median(|o| o.failed as f64),
            refused: refused.collect(),
            spilled: self.median(|o| o.spilled as f64),
            role_changes: self.median(|o| o.role_changes as f64),
            engine_seconds_lost: self.median(|o| o.role_change_lost_us as f64 / 1e6),
            dwell_breaches: self.outcomes.iter().map(|o| o.dwell_breaches).sum(),
            first_token: self.quantiles(|o| &o.first_token),
            between_tokens: self.quantiles(|o| &o.between_tokens),
            recovery,
            levels: self.levels(),
        }
    }
}

/// A target with its measured value.
#[derive(Debug, Clone, Serialize)]
pub struct TargetCheck {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Description of the measured value.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Minimum value that meets the target, or the maximum if `is_upper` is set.
    pub bound: f64,
    /// Whether the bound is an upper bound.
    pub is_upper: bool,
}

impl TargetCheck {
    fn at_least(name: &str, value: f64, bound: f64) -> Self {
        let (scenario, name, is_upper) = ("", name.to_owned(), false);
        Self {
            scenario,
            name,
            value,
            bound,
            is_upper,
        }
    }

    fn at_most(name: &str, value: f64, bound: f64) -> Self {
        Self {
            is_upper: true,
            ..Self::at_least(name, value, bound)
        }
    }

    /// Whether the target was met.
    pub fn is_met(&self) -> bool {
        if self.is_upper {
            self.value <= self.bound
        } else {
            self.value >= self.bound
        }
    }
}

/// Checks the targets of one scenario; empty without runs of both cost planners.
pub fn check_targets(groups: &[RunGroup<'_>]) -> Vec<TargetCheck> {
    let find = |policy: PolicyKind| {
        let mut groups = groups.iter();
        groups.find(|group| group.runs[0].policy == policy)
    };
    let (Some(low_weight), Some(high_weight)) =
        (find(PolicyKind::Cost(1.0)), find(PolicyKind::Cost(10.0)))
    else {
        return Vec::new();
    };
    let first = &groups[0].runs[0];
    let is_high_weight = first.deployment.role_change_weight > 1.0;
    let configured = if is_high_weight {
        high_weight
    } else {
        low_weight
    };
    let breaches = low_weight.row().dwell_breaches + high_weight.row().dwell_breaches;
    let mut checks = vec![TargetCheck::at_most(
        "changes within the dwell time",
        breaches as f64,
        0.0,
    )];
    if let Some((_, lowest)) = configured.row().recovery {
        let name = "on-time share after the repair / before, lowest seed";
        checks.push(TargetCheck::at_least(name, lowest, 0.95));
    }
    if first.scenario.runs_all_policies {
        let threshold = find(PolicyKind::Threshold);
        compare_goodput(
            groups,
            low_weight,
            threshold,
            find(PolicyKind::Oracle),
            &mut checks,
        );
        compare_weights(low_weight, high_weight, threshold, &mut checks);
    }
    overload_targets(configured, &mut checks);
    for target in &mut checks {
        target.scenario = first.scenario.name;
    }
    checks
}

fn compare_goodput(
    groups: &[RunGroup<'_>],
    low_weight: &RunGroup<'_>,
    threshold: Option<&RunGroup<'_>>,
    oracle: Option<&RunGroup<'_>>,
    checks: &mut Vec<TargetCheck>,
) {
    let fixed = groups
        .iter()
        .filter(|group| matches!(group.runs[0].policy, PolicyKind::Fixed(_)));
    let best = fixed.max_by(|a, b| a.row().goodput_per_s.total_cmp(&b.row().goodput_per_s));
    if let Some(best) = best {
        let name = format!("goodput, weight 1 / best {}", best.runs[0].policy.label());
        checks.push(TargetCheck::at_least(
            &name,
            low_weight.goodput_ratio(best),
            1.15,
        ));
    }
    if let Some(threshold) = threshold {
        let ratio = low_weight.goodput_ratio(threshold);
        checks.push(TargetCheck::at_least(
            "goodput, weight 1 / threshold",
            ratio,
            1.0,
        ));
    }
    if let Some(oracle) = oracle {
        let ratio = low_weight.goodput_ratio(oracle);
        checks.push(TargetCheck::at_least(
            "goodput, weight 1 / oracle",
            ratio,
            0.95,
        ));
    }
}

fn compare_weights(
    low_weight: &RunGroup<'_>,
    high_weight: &RunGroup<'_>,
    threshold: Option<&RunGroup<'_>>,
    checks: &mut Vec<TargetCheck>,
) {
    let ratio = high_weight.goodput_ratio(low_weight);
    checks.push(TargetCheck::at_least(
        "goodput, weight 10 / weight 1",
        ratio,
        0.97,
    ));
    let changes = |group: &RunGroup<'_>| group.row().role_changes;
    let ratio = changes(high_weight) / changes(low_weight).max(1.0);
    checks.push(TargetCheck::at_most(
        "role changes, weight 10 / weight 1",
        ratio,
        0.5,
    ));
    if let Some(threshold) = threshold {
        let ratio = changes(high_weight) / changes(threshold).max(1.0);
        checks.push(TargetCheck::at_most(
            "role changes, weight 10 / threshold",
            ratio,
            0.25,
        ));
    }
}

fn overload_targets(configured: &RunGroup<'_>, checks: &mut Vec<TargetCheck>) {
    let levels = configured.row().levels;
    let Some(doubled) = levels.last() else { return };
    let share = doubled.admitted_on_time_share;
    checks.push(TargetCheck::at_least(
        "admitted work on time at twice the load",
        share,
        0.95,
    ));
    let peak = levels
        .iter()
        .map(|level| level.goodput_per_s)
        .fold(0.0, f64::max);
    let ratio = doubled.goodput_per_s / peak;
    checks.push(TargetCheck::at_least(
        "goodput at twice the load / peak",
        ratio,
        0.9,
    ));
}

/// Formats rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| scenario | policy | goodput/s | on time | of admitted | late | refused | spilled | \
         changes | engine s lost | first token p50/p95 ms | between tokens p95 ms | recovery |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let refused: Vec<String> = row
            .refused
            .iter()
            .map(|(reason, count)| format!("{reason} {count:.0}"))
            .collect();
        let recovery = row.recovery.map_or(String::new(), |(median, lowest)| {
            format!("{median:.3} (lowest {lowest:.3})")
        });
        writeln!(
            text,
            "| {} | {} | {:.2} | {:.3} | {:.3} | {:.0} | {} | {:.0} | {:.0} | {:.0} | {:.0}/{:.0} \
             | {:.0} | {recovery} |",
            row.scenario,
            row.policy,
            row.goodput_per_s,
            row.on_time_share,
            row.admitted_on_time_share,
            row.late,
            refused.join(", "),
            row.spilled,
            row.role_changes,
            row.engine_seconds_lost,
            row.first_token.p50_ms,
            row.first_token.p95_ms,
            row.between_tokens.p95_ms,
        )
        .expect("a string takes any text");
    }
    text
}

/// Formats target checks as a Markdown table.
pub fn target_table(targets: &[TargetCheck]) -> String {
    let mut text =
        String::from("| scenario | target | bound | measured | |\n|---|---|---|---|---|\n");
    for target in targets {
        let sign = if target.is_upper {
            "at most"
        } else {
            "at least"
        };
        let met = if target.is_met() { "met" } else { "missed" };
        let (scenario, name) = (target.scenario, &target.name);
        let (bound, value) = (target.bound, target.value);
        writeln!(
            text,
            "| {scenario} | {name} | {sign} {bound} | {value:.3} | {met} |"
        )
        .expect("a string takes any text");
    }
    text
}
