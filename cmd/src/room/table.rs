//! Formats the capacity report as text for a terminal.

use dalestand_forwarding::{
    CapacityReport, ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolCapacity,
    ReportSources, TenantDemand,
};
use dalestand_routing::{TenantCode, WorkKind};

/// Indentation of a pool's rows and separator of their columns.
const INDENT: &str = "  ";

/// Formats the report as tables.
pub fn capacity_table(report: &CapacityReport) -> String {
    let declaration = report.declaration;
    let declaration = declaration.map_or("no declaration".to_owned(), |revision| {
        format!("declaration {revision}")
    });
    let (node, zone) = (
        printable(report.node.as_str()),
        printable(report.zone.as_str()),
    );
    let nodes = with_unit(report.nodes_known, "node");
    let mut text = format!("node {node} in zone {zone}: {declaration}, {nodes} known\n");
    let sources = sources(report.sources);
    let ages = ages(report.ages);
    text.push_str(&format!("figures of {sources}; {ages}\n"));
    for pool in &report.pools {
        push_pool(&mut text, pool);
    }
    text
}

fn sources(sources: ReportSources) -> String {
    if sources.fleet {
        return "the whole fleet, from this node's relay".to_owned();
    }
    let mut parts = vec!["this node".to_owned()];
    if sources.members > 0 {
        parts.push(with_unit(sources.members, "member"));
    }
    if sources.relays > 0 {
        let relays = with_unit(sources.relays, "relay");
        parts.push(format!("{relays} with their members"));
    }
    parts.join(", ")
}

fn ages(ages: FigureAges) -> String {
    let ages = [
        ("demand", ages.demand_ms),
        ("tenants", ages.tenants_ms),
        ("speeds", ages.speeds_ms),
    ];
    let ages = ages.map(|(name, age_ms)| match age_ms {
        Some(age_ms) => format!("{name} {age_ms} ms old"),
        None => format!("no {name} of others"),
    });
    ages.join(", ")
}

fn push_pool(text: &mut String, pool: &PoolCapacity) {
    let name = printable(pool.pool.as_str());
    let engines = with_unit(pool.engine_count(), "engine");
    let slots = with_unit(pool.slots() as usize, "slot");
    let busy = pool.busy_slots;
    text.push_str(&format!(
        "\npool {name}: {engines}, {slots}, {busy:.1} busy\n"
    ));
    push_rows(
        text,
        ["zone", "work", "engines", "slots"],
        pool.engines.iter().map(group_row),
    );
    let classes = [
        "priority",
        "first/s",
        "returned/s",
        "begun/s",
        "refused/s",
        "engine-refused/s",
        "busy",
        "waiting",
        "returns due",
    ];
    push_rows(text, classes, pool.classes.iter().map(class_row));
    push_rows(
        text,
        [
            "tenant",
            "asked slots",
            "begun slots",
            "asked tokens/s",
            "begun tokens/s",
        ],
        pool.tenants.iter().map(tenant_row),
    );
    push_unlisted_count(text, pool.tenants_unlisted, "tenant");
    let speeds = [
        "engine",
        "zone",
        "work",
        "times the usual time",
        "observations",
    ];
    push_rows(text, speeds, pool.speeds.iter().map(speed_row));
    push_unlisted_count(text, pool.speeds_unlisted, "engine");
    if let Some(scaling) = &pool.scaling {
        push_scaling(text, scaling);
    }
}

fn push_scaling(text: &mut String, scaling: &EngineScaling) {
    let (on_demand, spot) = (scaling.on_demand, scaling.spot);
    let weighed = printable(&scaling.weighed);
    text.push_str(&format!(
        "{INDENT}wanted: {on_demand} on demand, {spot} spot; {weighed}\n"
    ));
}

fn group_row(group: &EngineGroup) -> [String; 4] {
    [
        printable(group.zone.as_str()),
        work_name(group.work).to_owned(),
        group.engines.to_string(),
        group.slots.to_string(),
    ]
}

fn class_row(class: &ClassDemand) -> [String; 9] {
    let figures = &class.figures;
    [
        class.priority.to_string(),
        one_decimal(figures.asked_per_s),
        one_decimal(figures.returned_per_s),
        one_decimal(figures.begun_per_s),
        one_decimal(figures.refused_per_s),
        one_decimal(figures.engine_refusals_per_s),
        one_decimal(figures.busy_slots),
        one_decimal(figures.waiting),
        one_decimal(figures.returns_due),
    ]
}

fn tenant_row(tenant: &TenantDemand) -> [String; 5] {
    [
        tenant_name(tenant),
        one_decimal(tenant.figures.asked.slots),
        one_decimal(tenant.figures.begun.slots),
        one_decimal(tenant.figures.asked.prompt_tokens_per_s),
        one_decimal(tenant.figures.begun.prompt_tokens_per_s),
    ]
}

/// The tenant's name, a label for a group of callers, or the code in hexadecimal of a tenant that the declaration
/// does not name.
fn tenant_name(tenant: &TenantDemand) -> String {
    match (&tenant.name, tenant.code) {
        (Some(name), _) => printable(name),
        (None, TenantCode::OTHERS) => "(all others)".to_owned(),
        (None, TenantCode::ANONYMOUS) => "(without a key)".to_owned(),
        (None, code) => format!("#{:016x}", code.0),
    }
}

fn speed_row(speed: &EngineSpeed) -> [String; 5] {
    [
        printable(&speed.engine),
        printable(speed.zone.as_str()),
        work_name(speed.work).to_owned(),
        format!("{:.2}", speed.slowness),
        one_decimal(speed.observations),
    ]
}

fn work_name(kind: WorkKind) -> &'static str {
    match kind {
        WorkKind::Prefill => "prefill",
        WorkKind::Decode => "decode",
        WorkKind::Opaque => "opaque",
    }
}

fn one_decimal(value: f32) -> String {
    format!("{value:.1}")
}

fn with_unit(count: usize, unit: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {unit}{plural}")
}

/// Replaces control characters, since names come from other machines and could contain terminal escapes.
fn printable(name: &str) -> String {
    let characters = name.chars();
    characters
        .map(|character| {
            if character.is_control() {
                '?'
            } else {
                character
            }
        })
        .collect()
}

fn push_unlisted_count(text: &mut String, count: usize, unit: &str) {
    if count > 0 {
        let more = with_unit(count, unit);
        text.push_str(&format!("{INDENT}and {more} more\n"));
    }
}

/// Appends the rows in aligned columns under their headings; nothing if there are no rows.
fn push_rows<const COLUMNS: usize>(
    text: &mut String,
    headings: [&str; COLUMNS],
    rows: impl Iterator<Item = [String; COLUMNS]>,
) {
    let rows: Vec<[String; COLUMNS]> = rows.collect();
    if rows.is_empty() {
        return;
    }
    let headings = headings.map(str::to_owned);
    let width = |column: usize| {
        let cells = rows
            .iter()
            .chain([&headings])
            .map(|row| row[column].chars().count());
        cells.max().unwrap_or_default()
    };
    let widths: [usize; COLUMNS] = std::array::from_fn(width);
    for row in [&headings].into_iter().chain(&rows) {
        let cells = row.iter().zip(widths);
        let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join(INDENT);
        text.push_str(&format!("{INDENT}{}\n", line.trim_end()));
    }
}
