//! Cases of the second independent review: `review-case NAME FOLDER`. Writes `record.txt` into the
//! folder and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod explore;
mod http;
mod record;
mod runner;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(Vec<String>),
    /// The case could not run.
    Unplayed(String),
}

fn main() {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let root = PathBuf::from(args.next().unwrap_or_else(|| ".".into()));
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value != "0")
        || std::env::var("TROUBLE").is_err();
    if !root.join("target/release/waxwingd").exists() {
        eprintln!("target/release/waxwingd is not built");
        exit(2);
    }
    let root = root.canonicalize().unwrap_or(root);
    // The time limit of a script, with some seconds to spare.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(115));
        // The processes of the project end with this program.
        let _ = std::fs::remove_dir_all(site::folder());
        eprintln!("the case took too long");
        exit(2);
    });
    let Some(case) = cases::find(&name) else {
        eprintln!("no such case: {name}");
        exit(2);
    };
    let (verdict, text) = case(&root, has_trouble);
    let (code, lines) = match verdict {
        Verdict::Held => (0, vec!["the rule held".to_owned()]),
        Verdict::Broken(lines) => (1, lines),
        Verdict::Unplayed(reason) => (2, vec![format!("could not run: {reason}")]),
    };
    let shown = lines.len().min(40);
    let mut summary = format!("verdict: exit code {code}, trouble {has_trouble}\n");
    for line in &lines[..shown] {
        summary += &format!("  {line}\n");
    }
    if lines.len() > shown {
        summary += &format!("  and {} more lines of this kind\n", lines.len() - shown);
    }
    print!("{summary}");
    let _ = std::fs::write(folder.join("record.txt"), format!("{summary}\n{text}"));
    exit(code);
}
