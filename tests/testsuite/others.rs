//! The table of what others may do names stand-ins and tests that are there.

use eyre::{OptionExt, Result, ensure};
use googletest::prelude::*;
use std::{collections::BTreeMap, fs, path::Path};

const TABLE: &str = "docs/design/others.md";
const OPEN: &str = "open";
/// Where stand-ins live.
const PLAYERS: [&str; 4] = [
    "crates/mastweir-test-support/src",
    "crates/mastweir-soak/src",
    "crates/mastweir-model/src",
    "tests/testsuite",
];
/// Least rows: a table that lost some would still hold.
const ROWS_LEAST: usize = 110;

/// The sources in a folder, by file without its ending.
fn sources(folder: &str) -> Result<BTreeMap<String, String>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let mut all = BTreeMap::new();
    for entry in fs::read_dir(root)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "rs") {
            let name = path.file_stem().and_then(|name| name.to_str()).ok_or_eyre("a name")?;
            all.insert(name.to_owned(), fs::read_to_string(&path)?);
        }
    }
    Ok(all)
}

/// Rows of the table: what, played by, checked by, threatens.
fn rows() -> Result<Vec<[String; 4]>> {
    let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(TABLE))?;
    let mut rows = Vec::new();
    for line in text.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        ensure!(cells.len() == 4, "not four cells: {line}");
        if cells[0] != "what" && cells[0] != "---" {
            rows.push([cells[0], cells[1], cells[2], cells[3]].map(str::to_owned));
        }
    }
    Ok(rows)
}

fn named(cell: &str) -> Option<&str> {
    cell.strip_prefix('`')?.strip_suffix('`')
}

#[googletest::test]
fn each_row_names_what_is_there_or_is_open() -> Result<()> {
    let rows = rows()?;
    expect_that!(rows.len(), ge(ROWS_LEAST));
    let tests = sources("tests/testsuite")?;
    let players: Vec<String> = PLAYERS
        .iter()
        .map(|folder| sources(folder))
        .collect::<Result<Vec<_>>>()?
        .into_iter()
        .flat_map(BTreeMap::into_values)
        .collect();
    for [what, played, checked, threatens] in &rows {
        expect_that!(threatens.is_empty(), eq(false), "{what}");
        let is_test =
            named(checked).and_then(|name| name.split_once("::")).is_some_and(|(file, test)| {
                tests.get(file).is_some_and(|text| text.contains(&format!("fn {test}()")))
            });
        expect_that!(checked == OPEN || is_test, eq(true), "{what}: no test {checked}");
        let is_player =
            named(played).and_then(|name| name.rsplit_once("::")).is_some_and(|(_, item)| {
                let has = |text: &String| {
                    text.split(|char: char| !char.is_alphanumeric() && char != '_')
                        .any(|word| word == item)
                };
                players.iter().any(has)
            });
        expect_that!(played == OPEN || is_player, eq(true), "{what}: nothing plays {played}");
    }
    Ok(())
}
