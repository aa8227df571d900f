//! Traces one request through the logs of gateways: what happened to it, in order, and why it
//! ended as it did.

use super::{
    line::{Line, ParsedLine},
    read_lines,
};
use serde::Serialize;
use std::{collections::BTreeSet, path::PathBuf};

#[derive(Clone, Copy, Debug)]
pub struct TraceOptions<'a> {
    /// Id of one attempt at a request, or the fingerprint that all its attempts share.
    pub id: &'a str,
    /// Log files; standard input if empty.
    pub files: &'a [PathBuf],
}

/// One log line about the request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TraceStep {
    /// Seconds, on the time scale of the logs.
    pub at_s: f64,
    /// Instance that logged the line.
    pub instance: String,
    /// Message of the line.
    pub what: String,
    /// Its other fields, as `name=value`.
    pub details: String,
}

/// What the logs say about a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestTrace {
    /// Its log lines in order of time.
    pub steps: Vec<TraceStep>,
    /// Why the request ended as it did, in a sentence.
    pub cause: String,
    /// Number of lines that contain the id and could not be parsed.
    pub malformed: u64,
}

/// Collects the log lines about a request, and derives why it ended as it did.
///
/// # Errors
///
/// A file can't be read, or no line names the request.
pub fn trace(options: TraceOptions<'_>) -> eyre::Result<RequestTrace> {
    let mut lines: Vec<Line> = Vec::new();
    let (mut malformed, mut total) = (0, 0_u64);
    read_lines(options.files, |text| {
        total += 1;
        // A text search is much cheaper than parsing every line.
        if !text.contains(options.id) {
            return;
        }
        match Line::parse(text) {
            ParsedLine::Valid(line) if is_about(&line, options.id) => lines.push(line),
            ParsedLine::Malformed => malformed += 1,
            ParsedLine::Valid(_) | ParsedLine::Other => (),
        }
    })?;
    eyre::ensure!(
        !lines.is_empty(),
        "no line of {total} names request {}: its gateway's log may be missing or rotated away, or \
         the id is another's; give the logs of all gateways",
        options.id
    );
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let step = |line: &Line| TraceStep {
        at_s: line.at_s,
        instance: line.instance.clone(),
        what: line.message().to_owned(),
        details: line.details(),
    };
    let is_attempt = lines.iter().any(|line| line.text("id") == options.id);
    let cause = if is_attempt { cause(&lines) } else { attempts_summary(&lines) };
    Ok(RequestTrace { steps: lines.iter().map(step).collect(), cause, malformed })
}

/// Returns whether a line is about the attempt, or about a request with the fingerprint, `id`.
fn is_about(line: &Line, id: &str) -> bool {
    line.text("id") == id || line.text("fingerprint") == id
}

/// Summarizes the failed attempts at one request: only lines about a failed attempt have its
/// fingerprint.
fn attempts_summary(lines: &[Line]) -> String {
    let distinct = |texts: Vec<&str>| {
        let texts: BTreeSet<&str> = texts.into_iter().filter(|text| !text.is_empty()).collect();
        texts.len()
    };
    let attempts = distinct(lines.iter().map(|line| line.text("id")).collect());
    let gateways = distinct(lines.iter().map(|line| line.instance.as_str()).collect());
    let servers = distinct(lines.iter().map(|line| line.text("server")).collect());
    format!(
        "{attempts} attempts at one request, through {gateways} gateways, were lost at {servers} \
         servers"
    )
}

/// Returns why a request ended as it did, in a sentence.
fn cause(lines: &[Line]) -> String {
    let last = |message: &str| lines.iter().rev().find(|line| line.message() == message);
    if let Some(line) = last("request refused") {
        return format!("refused before any server was looked for: {}", line.text("reason"));
    }
    if let Some(line) = last("no server found") {
        let left = line
            .number("left_ms")
            .map_or(String::new(), |left| format!(", with {left} ms left to its caller"));
        return format!("{}{left}", refusal_cause(line.text("reason")));
    }
    if let Some(line) = last("stream cut") {
        let reason = match line.text("reason") {
            "late" => "its caller's deadline passed while its server was at work",
            "not resumed" => "its server was lost, and no other took it up",
            other => other,
        };
        return format!("the stream was cut: {reason}{}", lateness(lines));
    }
    if last("stream complete").is_some() {
        return format!("served whole{}", lateness(lines));
    }
    let Some(line) = last("request") else {
        return "not ended yet, or its last lines are missing".to_owned();
    };
    let failed = lines.iter().rev().find(|line| {
        let failures = [
            "server not reached",
            "attempt broken",
            "server refused",
            "server makes no progress",
            "answer belongs to another request",
        ];
        failures.contains(&line.message())
    });
    match (line.text("outcome"), failed) {
        ("answered", _) => "served whole".to_owned(),
        ("streaming", _) => "the stream began; its end is not in these lines".to_owned(),
        (_, Some(failed)) => format!(
            "ended with {} behind: {} ({})",
            line.number("status").unwrap_or_default(),
            failed.message(),
            failed.details()
        ),
        (_, None) => format!(
            "ended with {} at its deadline: the server gave no answer in time",
            line.number("status").unwrap_or_default()
        ),
    }
}

fn refusal_cause(reason: &str) -> &str {
    match reason {
        "full" => "refused, not run: its servers had more than their places hold",
        "standing" => "refused, not run: the groups of all its servers stood still",
        "no_server" => "refused, not run: no server that was not tried is known",
        other => other,
    }
}

/// Returns why a stream was late; empty if it was not.
fn lateness(lines: &[Line]) -> String {
    let Some(line) = lines.iter().rev().find(|line| line.message() == "stream timing") else {
        return String::new();
    };
    let number = |name: &str| line.number(name).unwrap_or_default();
    match line.text("late") {
        "pause" => format!(
            ", late by a pause of {} ms: passes of group {} took {} ms with {} running and {} \
             waiting there",
            number("pause_ms"),
            line.text("group"),
            number("pass_ms"),
            number("running"),
            number("waiting")
        ),
        "first event" => format!(
            ", late by its first event after {} ms, of which it waited {} ms for a server",
            number("first_ms"),
            number("waited_ms")
        ),
        _ => String::new(),
    }
}
