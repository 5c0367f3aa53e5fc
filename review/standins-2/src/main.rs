//! Cases of the second review that start the deployed program with stand-ins around it.
//!
//! `review-case-2 CASE FOLDER` exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` in the environment the disruption is left out.

mod http;
mod long_bodies;
mod lost_hosts;
mod many_requests;
mod platform;
mod record;
mod slow_bodies;
mod store;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-case-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let outcome = match case.as_str() {
        "long-bodies" => long_bodies::run(&folder, has_trouble),
        "lost-hosts" => lost_hosts::run(&folder, has_trouble),
        "many-requests" => many_requests::run(&folder, has_trouble),
        "slow-bodies" => slow_bodies::run(&folder, has_trouble),
        _ => Outcome::NotRun(format!("there is no case {case}")),
    };
    match outcome {
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::Broken => ExitCode::from(1),
        Outcome::NotRun(reason) => {
            eprintln!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
