//! Runs an engine stand-in: `fake_engine IP:PORT`.

use tealsaddle_testkit::engine::server::{EngineConfig, bind};

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::args()
        .nth(1)
        .ok_or("usage: fake_engine IP:PORT")?
        .parse()?;
    let config = EngineConfig {
        prefill_tokens_per_s: 50_000,
        between_tokens_ms: 5,
    };
    let server = bind(address, config).await?;
    println!("listening on {}", server.address());
    server.join().await;
    Ok(())
}
