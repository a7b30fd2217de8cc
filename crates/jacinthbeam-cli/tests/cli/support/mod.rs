//! An operator's desk: folders, a stand-in store, and a screen that shows what the commands say.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use clap::Command;
use jacinthbeam_cli::{Terminal, command};
use jacinthbeam_standin::serve;

/// Any free port of the loopback interface.
pub const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// What the commands wrote. Lines about problems start with `! `.
#[derive(Clone, Default)]
pub struct Screen(Arc<Mutex<Shown>>);

#[derive(Default)]
struct Shown {
    text: String,
}

/// One of the two outputs of a command.
struct Output {
    screen: Screen,
    prefix: &'static str,
    line: Vec<u8>,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        while let Some(end) = self.line.iter().position(|byte| *byte == b'\n') {
            let rest = self.line.split_off(end + 1);
            let line = std::mem::replace(&mut self.line, rest);
            self.screen.show(self.prefix, &String::from_utf8_lossy(&line));
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Screen {
    fn show(&self, prefix: &str, line: &str) {
        let mut shown = self.0.lock().expect("no holder panics");
        shown.text.push_str(prefix);
        shown.text.push_str(line);
    }

    /// Everything shown so far.
    pub fn text(&self) -> String {
        self.0.lock().expect("no holder panics").text.clone()
    }

    /// Runs `f` with a terminal that writes here.
    pub async fn with<T>(&self, f: impl AsyncFnOnce(&mut Terminal<'_>) -> T) -> T {
        let output = |prefix| Output { screen: self.clone(), prefix, line: Vec::new() };
        let (mut out, mut err) = (output(""), output("! "));
        f(&mut Terminal::new(&mut out, &mut err)).await
    }
}

/// A folder that is removed at the end of the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cli-{}-{number}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("a folder for tests");
        Self(path)
    }

    pub fn copy(&self) -> Self {
        let copy = Self::new();
        for entry in fs::read_dir(&self.0).expect("a folder") {
            let entry = entry.expect("a file");
            fs::copy(entry.path(), copy.0.join(entry.file_name())).expect("a copy");
        }
        copy
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).expect("a file");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Left behind in the target folder at worst.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A store and a screen on which an operator's whole session appears.
pub struct Desk {
    pub store: serve::Handle,
    pub screen: Screen,
    names: Vec<(String, String)>,
}

impl Desk {
    pub async fn new() -> Self {
        let store = serve::spawn(LOOPBACK, 4).await.expect("a free port");
        let names = vec![(store.addr().to_string(), "STORE".to_owned())];
        Self { store, screen: Screen::default(), names }
    }

    /// Shows `folder` under a name.
    pub fn name(&mut self, folder: &Folder, name: &str) {
        self.names.push((folder.0.display().to_string(), name.to_owned()));
    }

    /// A line that tells what happens next.
    pub fn tell(&self, line: &str) {
        self.screen.show("\n", &format!("# {line}\n"));
    }

    /// Runs a command line and shows it, what it says, and its exit code unless that is 0.
    pub async fn run(&self, line: &str) -> u8 {
        self.screen.show("", &format!("$ jacinthbeam {line}\n"));
        let words: Vec<String> = line.split_whitespace().map(|word| self.place(word)).collect();
        let program = Command::new("jacinthbeam").no_binary_name(true).subcommands(command::all());
        let matches = program.try_get_matches_from(words).expect("a right command line");
        let (name, args) = matches.subcommand().expect("a command");
        let ended = self.screen.with(async |terminal| {
            let ended = command::run(name, args, terminal).await;
            ended.inspect_err(|err| terminal.warn(err))
        });
        let code = ended.await.map_or_else(|err| err.exit_code(), |()| 0);
        if code != 0 {
            self.screen.show("", &format!("exit code {code}\n"));
        }
        code
    }

    /// What a word of a command line stands for.
    fn place(&self, word: &str) -> String {
        let known = self.names.iter().find(|(_, name)| name == word);
        known.map_or_else(|| word.to_owned(), |(real, _)| real.clone())
    }

    /// What was shown, without what differs from run to run.
    pub fn text(&self) -> String {
        let mut text = self.screen.text();
        for (real, name) in &self.names {
            text = text.replace(real, name);
        }
        text
    }
}
