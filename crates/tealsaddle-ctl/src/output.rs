//! Human-readable output: JSON from a node as indented text and tables.

use std::fmt::Write as _;

use serde_json::Value;

/// Renders objects as `name: value` lines and lists of objects as tables.
///
/// # Examples
///
/// ```
/// let value = serde_json::json!({ "zone": "isando", "peers": [{ "vm": "vm-2" }] });
/// let text = tealsaddle_ctl::output::render(&value);
/// assert_eq!(text, "peers:\n  vm\n  vm-2\nzone: isando\n");
/// ```
pub fn render(value: &Value) -> String {
    let mut text = String::new();
    render_into(&mut text, value, 0);
    text
}

fn push_line(text: &mut String, indent: usize, line: &str) {
    writeln!(text, "{:indent$}{}", "", line.trim_end()).expect("writing to a string cannot fail");
}

fn render_into(text: &mut String, value: &Value, indent: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                if is_nested(field) {
                    push_line(text, indent, &format!("{name}:"));
                    render_into(text, field, indent + 2);
                } else {
                    push_line(text, indent, &format!("{name}: {}", scalar(field)));
                }
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            render_table(text, items, indent);
        }
        Value::Array(items) => {
            for item in items {
                push_line(text, indent, &format!("- {}", scalar(item)));
            }
        }
        other => push_line(text, indent, &scalar(other)),
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Object(fields) if fields.is_empty() => "none".to_owned(),
        other => other.to_string(),
    }
}

fn render_table(text: &mut String, rows: &[Value], indent: usize) {
    let mut columns: Vec<&str> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for name in row.keys() {
            // Nested values do not fit into a cell; --json shows them.
            if !is_nested(&row[name]) && !columns.contains(&name.as_str()) {
                columns.push(name);
            }
        }
    }
    let mut lines = vec![
        columns
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>(),
    ];
    for row in rows {
        lines.push(columns.iter().map(|name| scalar(&row[*name])).collect());
    }
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| {
            lines
                .iter()
                .map(|line| line[column].chars().count())
                .max()
                .unwrap_or(0)
        })
        .collect();
    for line in lines {
        let mut padded = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            write!(padded, "{cell:width$}  ").expect("writing to a string cannot fail");
        }
        push_line(text, indent, &padded);
    }
}

/// Renders a decision as one line with time, kind, subject, choice and reason.
pub fn decision_line(decision: &Value) -> String {
    let field = |name: &str| scalar(&decision[name]);
    let at_ms = decision["at_us"].as_u64().unwrap_or(0) / 1_000;
    format!(
        "{at_ms:>12} ms  {:<7}{}  ->  {}  ({})",
        field("kind"),
        field("subject"),
        field("choice"),
        field("reason"),
    )
}

/// Renders a decision as its line, followed by its inputs and alternatives.
pub fn decision_block(decision: &Value) -> String {
    let mut text = decision_line(decision);
    text.push('\n');
    for input in decision["inputs"].as_array().into_iter().flatten() {
        push_line(
            &mut text,
            4,
            &format!("{} = {}", scalar(&input[0]), scalar(&input[1])),
        );
    }
    let alternatives = decision["alternatives"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    if !alternatives.is_empty() {
        render_table(&mut text, &alternatives, 4);
    }
    text
}
