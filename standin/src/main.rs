//! Stand-ins for what briarwinch meets: the platform, model engines, plain services, callers.
//!
//! For tests and the demo only; not shipped.

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
struct Line {
    #[command(subcommand)]
    part: Part,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// Object API, endpoint interface, usage interface, instance list
    Platform(platform::Options),
    /// A model engine that streams tokens at a set rate
    Engine(engine::Options),
    /// A plain service that counts how often each call ran
    Service(service::Options),
    /// Callers: open-loop load that checks every answer
    Load(load::Options),
}

fn main() -> anyhow::Result<()> {
    let line = Line::parse();
    let runner = ntex::rt::System::build().disable_signals().build(ntex::rt::DefaultRuntime);
    runner.block_on(async move {
        match line.part {
            Part::Platform(options) => platform::run(options).await,
            Part::Engine(options) => engine::run(options).await,
            Part::Service(options) => service::run(options).await,
            Part::Load(options) => load::run(options).await,
        }
    })
}
