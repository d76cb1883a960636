//! The `front` role: a gateway on a platform whose runners register themselves.

use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;

use tealsaddle_gateway::lifecycle::{Lifecycle, Platform};
use tealsaddle_gateway::logging;
use tealsaddle_platform::{
    HttpDutyPlatform, HttpStore, PlatformDialect, PlatformSettings, SettingsFile,
};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "TEALSADDLE_CONFIG";

/// Runs the gateway, or only validates its settings file if `is_check` is set.
pub fn run(is_check: bool) -> Result<(), Box<dyn Error>> {
    let lifecycle = Lifecycle::open()?;
    let file = std::env::var_os(SETTINGS_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| format!("the environment variable {SETTINGS_VARIABLE} is not set"))?;
    let settings = PlatformSettings::from_file(&file)?;
    if is_check {
        println!("{}: valid", file.display());
        return Ok(());
    }
    logging::open(log::LevelFilter::Info)?;
    let duties = settings.gateway.duties.as_ref();
    let duty_platform =
        duties.map(|duties| Arc::new(HttpDutyPlatform::open(duties.address)) as Arc<_>);
    let platform = Platform {
        store: Arc::new(HttpStore::open(settings.store_address)),
        dialect: Arc::new(PlatformDialect),
        duty_platform,
        reload: Box::new(SettingsFile::open(&file)),
    };
    lifecycle.run(settings.gateway, platform)?;
    Ok(())
}
