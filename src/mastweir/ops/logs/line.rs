//! Parses one log line of a gateway or sidecar: JSON, with or without a time and a process
//! name before it.

use serde_json::{Map, Value};

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Line {
    /// Seconds: the number before the line, else the time of day of its timestamp; 0 without
    /// either.
    pub(super) at_s: f64,
    pub(super) instance: String,
    fields: Map<String, Value>,
}

/// Result of parsing a line.
pub(super) enum ParsedLine {
    /// A log line of this project.
    Valid(Line),
    /// A line with JSON that can't be parsed, such as a truncated one, or without a message.
    Malformed,
    /// A line without JSON.
    Other,
}

impl Line {
    pub(super) fn parse(text: &str) -> ParsedLine {
        let Some(begin) = text.find('{') else { return ParsedLine::Other };
        let (before, json) = text.split_at(begin);
        let Ok(Value::Object(fields)) = serde_json::from_str(json) else {
            return ParsedLine::Malformed;
        };
        if !fields.contains_key("msg") {
            return ParsedLine::Malformed;
        }
        let mut before = before.split_whitespace();
        let time = before.next().and_then(|prefix| prefix.parse().ok());
        let name = before.next().map(str::to_owned);
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let at_s = time.or_else(|| text("ts").and_then(seconds_of_day)).unwrap_or_default();
        let instance = text("instance").map(str::to_owned).or(name).unwrap_or_default();
        ParsedLine::Valid(Self { at_s, instance, fields })
    }

    pub(super) fn message(&self) -> &str {
        self.text("msg")
    }

    /// Returns a field's text; empty if the field is absent or no text.
    pub(super) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field's value as an unsigned integer.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Formats all fields except null ones and those that every line has.
    pub(super) fn details(&self) -> String {
        let common = ["msg", "level", "ts", "instance", "id"];
        let fields = self
            .fields
            .iter()
            .filter(|(name, value)| !common.contains(&name.as_str()) && !value.is_null());
        let texts = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Returns the seconds since midnight of an RFC 3339 time.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split(':').map(str::parse::<f64>);
    let (hours, minutes) = (parts.next()?.ok()?, parts.next()?.ok()?);
    Some((hours * 60.0 + minutes) * 60.0 + parts.next()?.ok()?)
}
