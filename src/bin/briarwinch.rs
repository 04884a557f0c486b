//! The command-line tool for operators.

use std::process::ExitCode;

use briarwinch::{cli, operator};
use clap::Parser;

fn main() -> ExitCode {
    let args = cli::Operator::parse();
    let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
    match runner.block_on(async move { operator::run(&args).await }) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("briarwinch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
