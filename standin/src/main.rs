//! Stand-ins for the systems around briarwinch: the platform, model engines, plain services and callers.
//!
//! Used by tests and the demo only; not part of a release.

mod engine;
mod load;
mod plan;
mod platform;
mod serve;
mod service;
mod tokens;

use clap::{Parser, Subcommand};

#[derive(Debug, Parser)]
#[command(name = "briarwinch-standin", version)]
struct CommandLine {
    #[command(subcommand)]
    part: Part,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// Platform: object API, endpoint interface, usage interface, instance list
    Platform(platform::Options),
    /// Model engine that streams tokens at a fixed rate
    Engine(engine::Options),
    /// Plain service that counts how often each call was executed
    Service(service::Options),
    /// Open-loop load generator that checks every answer
    Load(load::Options),
}

fn main() -> anyhow::Result<()> {
    let command_line = CommandLine::parse();
    let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
    runner.block_on(async move {
        match command_line.part {
            Part::Platform(options) => platform::run(options).await,
            Part::Engine(options) => engine::run(options).await,
            Part::Service(options) => service::run(options).await,
            Part::Load(options) => load::run(options).await,
        }
    })
}
