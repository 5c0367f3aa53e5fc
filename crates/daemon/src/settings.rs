//! Reads the settings from command-line flags and environment variables, and reports all errors together.
//!
//! Each setting has a flag `--name` and a variable `SKYLARKDOCK_NAME`; the flag takes precedence.

use skylarkdock_peer::secret::Secret;
use skylarkdock_units::ids::{HostId, Region, Zone};
use skylarkdock_units::times::Millis;
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Prefix of the environment variables.
pub const VARIABLE_PREFIX: &str = "SKYLARKDOCK_";

/// Variables of the command-line tool. They may be set in the same environment and are ignored here.
const CLI_VARIABLES: &[&str] = &["SKYLARKDOCK_HOSTS", "SKYLARKDOCK_BY"];

/// Action requested on the command line.
#[derive(Debug)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Run the daemon with these settings.
    Run(Box<Settings>),
}

/// Settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host.
    pub host_id: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Listen address for other hosts.
    pub peer_listen: SocketAddr,
    /// Listen address for callers, forwarded requests and operators.
    pub http_listen: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's host list.
    pub host_list: SocketAddr,
    /// The secret that all hosts share.
    pub secret: Secret,
    /// Number of threads that handle callers' requests.
    pub traffic_threads: u64,
    /// Log output format.
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// Number of records between two checkpoints.
    pub checkpoint_records: u64,
    /// Longest time between two checkpoints while records are being added.
    pub checkpoint_interval: Millis,
    /// Bearer token required for admin calls; `None` disables authentication.
    pub admin_token: Option<Secret>,
    /// Longest time that a stopping daemon waits for in-flight requests.
    pub drain_limit: Millis,
}

macro_rules! keyword_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $keyword:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name { $($(#[$vdoc])* $variant),+ }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                match text {
                    $($keyword => Ok(Self::$variant),)+
                    _ => Err(format!("{text:?} is not one of {}", [$($keyword),+].join(", "))),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $keyword),+ })
            }
        }
    };
}

keyword_enum!(
    /// Log output format.
    LogFormat {
        /// Plain text, one line per message.
        Text = "text",
        /// One JSON object per line.
        Json = "json",
    }
);

keyword_enum!(
    /// Log level.
    LogLevel {
        /// Failures that an operator must handle.
        Error = "error",
        /// Failures that the daemon handles itself.
        Warn = "warn",
        /// State changes.
        Info = "info",
        /// Details for debugging.
        Debug = "debug",
    }
);

/// Description of a setting, as shown by `--help`.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Command-line flag.
    pub flag: &'static str,
    /// Syntax of the value.
    pub value_syntax: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    /// Help text.
    pub help: &'static str,
}

const fn spec(
    flag: &'static str,
    value_syntax: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, value_syntax, default, help }
}

/// All settings, in the order in which `--help` lists them.
pub const SETTINGS: &[SettingSpec] = &[
    spec("--host-id", "NAME", None, "name of this host"),
    spec("--zone", "NAME", None, "availability zone of this host"),
    spec("--region", "NAME", None, "region of this host"),
    spec("--peer-listen", "IP:PORT", None, "where to listen for other hosts"),
    spec("--http-listen", "IP:PORT", None, "where to listen for callers and operators"),
    spec("--log", "IP:PORT", None, "the platform's log"),
    spec("--host-list", "IP:PORT", None, "the platform's host list"),
    spec("--secret", "TEXT", None, "secret that all hosts share, 16 bytes or more"),
    spec(
        "--admin-token",
        "TEXT",
        Some(""),
        "token for admin calls, 16 bytes or more; no authentication if empty",
    ),
    spec("--traffic-threads", "1..64", Some("2"), "threads that handle requests"),
    spec("--log-format", "text|json", Some("text"), "log output format"),
    spec("--log-level", "error|warn|info|debug", Some("info"), "lowest severity that is logged"),
    spec("--checkpoint-records", "10..1000000", Some("5000"), "records between two checkpoints"),
    spec("--checkpoint-interval", "1s..86400s", Some("600s"), "time between two checkpoints"),
    spec(
        "--drain-limit",
        "100ms..600s",
        Some("30s"),
        "time for in-flight requests during shutdown",
    ),
];

/// An invalid, missing or unknown setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag of the setting, or the unknown flag or variable.
    pub name: String,
    /// Error message.
    pub problem: String,
}

/// All errors found in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "skylarkdockd: {} invalid settings:", self.0.len())?;
        for fault in &self.0 {
            writeln!(f, "  {}: {}", fault.name, fault.problem)?;
        }
        f.write_str("Try --help.")
    }
}

/// Reads the settings.
///
/// # Errors
///
/// Returns every setting that is missing, invalid or unknown.
pub fn read(
    args: Vec<OsString>,
    env: impl Iterator<Item = (OsString, OsString)>,
) -> Result<Command, SettingFaults> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let mut reader = Reader::new(args, env);
    let settings = reader.settings();
    let faults = reader.finish();
    match settings {
        Some(settings) if faults.is_empty() => Ok(Command::Run(Box::new(settings))),
        _ => Err(SettingFaults(faults)),
    }
}

struct Reader {
    args: pico_args::Arguments,
    env: Vec<(String, String)>,
    faults: Vec<SettingFault>,
}

impl Reader {
    fn new(args: pico_args::Arguments, env: impl Iterator<Item = (OsString, OsString)>) -> Self {
        let text = |os: OsString| os.to_string_lossy().into_owned();
        let variables = env
            .map(|(name, value)| (text(name), text(value)))
            .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX))
            .filter(|(name, _)| !CLI_VARIABLES.contains(&name.as_str()));
        Self { args, env: variables.collect(), faults: Vec::new() }
    }

    fn settings(&mut self) -> Option<Settings> {
        let host_id = self.parse("--host-id");
        let zone = self.parse("--zone");
        let region = self.parse("--region");
        let peer_listen = self.parse("--peer-listen");
        let http_listen = self.parse("--http-listen");
        let log = self.parse("--log");
        let host_list = self.parse("--host-list");
        let secret = self.parse("--secret");
        let admin_token = self.optional_token("--admin-token");
        let traffic_threads = self.number("--traffic-threads", 1, 64);
        let log_format = self.parse("--log-format");
        let log_level = self.parse("--log-level");
        let checkpoint_records = self.number("--checkpoint-records", 10, 1_000_000);
        let checkpoint_interval = self.duration("--checkpoint-interval", 1_000, 86_400_000);
        let drain_limit = self.duration("--drain-limit", 100, 600_000);
        Some(Settings {
            host_id: host_id?,
            zone: zone?,
            region: region?,
            peer_listen: peer_listen?,
            http_listen: http_listen?,
            log: log?,
            host_list: host_list?,
            secret: secret?,
            admin_token: admin_token?,
            traffic_threads: traffic_threads?,
            log_format: log_format?,
            log_level: log_level?,
            checkpoint_records: checkpoint_records?,
            checkpoint_interval: checkpoint_interval?,
            drain_limit: drain_limit?,
        })
    }

    fn finish(mut self) -> Vec<SettingFault> {
        for (name, _) in std::mem::take(&mut self.env) {
            self.report_fault(&name, "unknown environment variable");
        }
        for argument in
            std::mem::replace(&mut self.args, pico_args::Arguments::from_vec(Vec::new())).finish()
        {
            let argument = argument.to_string_lossy();
            // An argument that is not a flag may be the value of a mistyped flag, such as a secret, and is not printed.
            let flag = argument.split('=').next().unwrap_or_default();
            let name = if flag.starts_with('-') { flag } else { "a value" };
            let is_reported = self.faults.iter().any(|fault| fault.name == name);
            if !is_reported || !name.starts_with('-') {
                self.report_fault(name, "unknown argument");
            }
        }
        self.faults
    }

    fn report_fault(&mut self, name: &str, problem: impl Into<String>) {
        self.faults.push(SettingFault { name: name.to_owned(), problem: problem.into() });
    }

    /// Removes a setting from the flags and variables and returns its text or its default.
    fn take(&mut self, flag: &'static str) -> Option<String> {
        let from_flag = self.args.opt_value_from_str::<_, String>(flag);
        let variable = variable_of(flag);
        let index = self.env.iter().position(|(name, _)| *name == variable);
        let from_env = index.map(|index| self.env.swap_remove(index).1);
        match from_flag {
            Ok(Some(text)) => Some(text),
            Ok(None) => from_env.or_else(|| default_of(flag)),
            Err(error) => {
                self.report_fault(flag, error.to_string());
                None
            }
        }
    }

    fn parse<T>(&mut self, flag: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let before = self.faults.len();
        let Some(text) = self.take(flag) else {
            if self.faults.len() == before {
                self.report_fault(flag, format!("missing, needs {}", syntax_of(flag)));
            }
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report_fault(flag, format!("{error}, needs {}", syntax_of(flag)));
                None
            }
        }
    }

    /// Parses a token; an empty text gives `Some(None)`.
    fn optional_token(&mut self, flag: &'static str) -> Option<Option<Secret>> {
        let text: String = self.parse(flag)?;
        if text.is_empty() {
            return Some(None);
        }
        match text.parse() {
            Ok(token) => Some(Some(token)),
            Err(error) => {
                self.report_fault(flag, format!("{error}, needs {}", syntax_of(flag)));
                None
            }
        }
    }

    fn number(&mut self, flag: &'static str, min: u64, max: u64) -> Option<u64> {
        let value = self.parse(flag)?;
        self.check_range(flag, value, min, max)
    }

    fn duration(&mut self, flag: &'static str, min: u64, max: u64) -> Option<Millis> {
        let value: Millis = self.parse(flag)?;
        self.check_range(flag, value.0, min, max).map(Millis)
    }

    fn check_range(&mut self, flag: &str, value: u64, min: u64, max: u64) -> Option<u64> {
        if (min..=max).contains(&value) {
            return Some(value);
        }
        self.report_fault(flag, format!("is out of range, needs {}", syntax_of(flag)));
        None
    }
}

/// Returns the name of the environment variable for a flag.
pub fn variable_of(flag: &str) -> String {
    let name = flag.trim_start_matches('-').to_ascii_uppercase().replace('-', "_");
    format!("{VARIABLE_PREFIX}{name}")
}

fn syntax_of(flag: &str) -> &'static str {
    SETTINGS.iter().find(|spec| spec.flag == flag).map_or("", |spec| spec.value_syntax)
}

fn default_of(flag: &str) -> Option<String> {
    let spec = SETTINGS.iter().find(|spec| spec.flag == flag)?;
    spec.default.map(str::to_owned)
}
