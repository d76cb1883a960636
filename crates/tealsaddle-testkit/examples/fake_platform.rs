//! Runs the platform stand-in: `fake_platform IP:PORT`.

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::args()
        .nth(1)
        .ok_or("usage: fake_platform IP:PORT")?
        .parse()?;
    let server = tealsaddle_testkit::platform::bind(address).await?;
    println!("listening on {}", server.address());
    server.join().await;
    Ok(())
}
