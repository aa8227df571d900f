//! One request's way, and why it ended as it did.

use super::{
    line::{Line, Read},
    read_lines,
};
use serde::Serialize;
use std::{collections::BTreeSet, path::PathBuf};

/// Which request, and where to look for it.
#[derive(Clone, Copy, Debug)]
pub struct StoryOptions<'a> {
    /// The request's id, or the fingerprint that all its attempts have in common.
    pub id: &'a str,
    /// Log files; none for standard input.
    pub files: &'a [PathBuf],
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// Seconds, as the log counts them.
    pub at_s: f64,
    /// Who wrote it.
    pub instance: String,
    /// What happened.
    pub what: String,
    /// What it rested on.
    pub details: String,
}

/// What is known of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// What happened, in order.
    pub steps: Vec<Step>,
    /// Why it ended so, in a sentence.
    pub cause: String,
    /// Lines that could not be read.
    pub malformed: u64,
}

/// A request's story.
///
/// # Errors
///
/// A file can't be read, or no line names the request.
pub fn story(options: StoryOptions<'_>) -> eyre::Result<Story> {
    let mut lines: Vec<Line> = Vec::new();
    let (mut malformed, mut all) = (0, 0_u64);
    read_lines(options.files, |text| {
        all += 1;
        // Reading all of a fleet's lines takes minutes; those that name it are few.
        if !text.contains(options.id) {
            return;
        }
        match Line::read(text) {
            Read::Line(line) if names(&line, options.id) => lines.push(line),
            Read::Malformed => malformed += 1,
            Read::Line(_) | Read::Other => (),
        }
    })?;
    eyre::ensure!(
        !lines.is_empty(),
        "no line of {all} names request {}: its gateway's log may be missing or rotated away, or \
         the id is another's; give the logs of all gateways",
        options.id
    );
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let step = |line: &Line| Step {
        at_s: line.at_s,
        instance: line.instance.clone(),
        what: line.message().to_owned(),
        details: line.details(),
    };
    let is_attempt = lines.iter().any(|line| line.text("id") == options.id);
    let cause = if is_attempt { cause(&lines) } else { in_common(&lines) };
    Ok(Story { steps: lines.iter().map(step).collect(), cause, malformed })
}

/// Whether a line is about an attempt, or a request that has the fingerprint.
fn names(line: &Line, id: &str) -> bool {
    line.text("id") == id || line.text("fingerprint") == id
}

/// What became of all attempts at one request, as far as lines name its fingerprint: only
/// those do that say that an attempt failed.
fn in_common(lines: &[Line]) -> String {
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

/// Why a request ended as it did, in a sentence.
fn cause(lines: &[Line]) -> String {
    let last = |message: &str| lines.iter().rev().find(|line| line.message() == message);
    if let Some(line) = last("request refused") {
        return format!("refused before any server was looked for: {}", line.text("reason"));
    }
    if let Some(line) = last("no server found") {
        let left = line
            .number("left_ms")
            .map_or(String::new(), |left| format!(", with {left} ms left to its caller"));
        return format!("{}{left}", unfound(line.text("reason")));
    }
    if let Some(line) = last("stream cut") {
        let reason = match line.text("reason") {
            "late" => "its caller's deadline passed while its server was at work",
            "not resumed" => "its server was lost, and no other took it up",
            other => other,
        };
        return format!("the stream was cut: {reason}{}", pace(lines));
    }
    if last("stream complete").is_some() {
        return format!("served whole{}", pace(lines));
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

fn unfound(reason: &str) -> &str {
    match reason {
        "full" => "refused, not run: its servers had more than their places hold",
        "standing" => "refused, not run: the groups of all its servers stood still",
        "no_server" => "refused, not run: no server that was not tried is known",
        other => other,
    }
}

/// How a stream kept pace, where that was late.
fn pace(lines: &[Line]) -> String {
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
