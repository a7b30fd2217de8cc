//! A whole day of two operators as they read it.

use std::fmt::Write;

use super::operator::{Log, Operator, service};

struct Day {
    log: Log,
    out: String,
}

impl Day {
    fn tell(&mut self, line: &str) {
        writeln!(self.out, "# {line}").expect("a string takes everything");
    }

    fn check(&mut self, who: &str, operator: &Operator) {
        writeln!(self.out, "{who}$ check").expect("a string takes everything");
        match operator.folder.check() {
            Ok(checked) => {
                let count = checked.config.services.len();
                writeln!(self.out, "right: {count} services").expect("a string takes everything");
            }
            Err(problems) => problems.iter().for_each(|problem| {
                writeln!(self.out, "{problem}").expect("a string takes everything");
            }),
        }
    }

    fn publish(&mut self, who: &str, operator: &mut Operator) {
        let said = operator.publish(&mut self.log);
        write!(self.out, "{who}$ publish\n{said}").expect("a string takes everything");
        let in_force = match self.log.state.version() {
            Some(version) => format!("version {version}, {}", self.teams()),
            None => "nothing".into(),
        };
        writeln!(self.out, "in force: {in_force}\n").expect("a string takes everything");
    }

    fn adopt(&mut self, who: &str, operator: &mut Operator) {
        let said = operator.adopt(&self.log, |_| None);
        write!(self.out, "{who}$ adopt\n{said}").expect("a string takes everything");
    }

    fn teams(&self) -> String {
        let services = &self.log.state.config().services;
        let teams = services.iter().map(|(name, service)| format!("{name}={}", team(service)));
        teams.collect::<Vec<_>>().join(" ")
    }
}

fn team(service: &jacinthbeam_route::Service) -> String {
    service.team.as_ref().map_or("nobody".into(), ToString::to_string)
}

#[test]
fn operators_session() {
    let mut day = Day { log: Log::default(), out: String::new() };
    let mut iva = Operator::default();
    day.tell("Iva writes the first two files; one has a wrong field.");
    iva.save(
        "10-tiles.json",
        &service("tilecast", "ice", 2000).replace("connections", "conections"),
    );
    iva.save("20-brine.json", &service("brinedesk", "brine", 1200));
    day.check("iva", &iva);
    day.publish("iva", &mut iva);
    day.tell("She corrects it.");
    iva.save("10-tiles.json", &service("tilecast", "ice", 2000));
    day.check("iva", &iva);
    day.publish("iva", &mut iva);
    day.publish("iva", &mut iva);

    day.tell("Petr takes a copy of her folder, and an archive keeps another. Both change different files.");
    let mut petr = iva.clone();
    let mut archive = iva.clone();
    iva.save("10-tiles.json", &service("tilecast", "roads", 2000));
    petr.save("20-brine.json", &service("brinedesk", "salt", 1200));
    day.publish("iva", &mut iva);
    day.publish("petr", &mut petr);

    day.tell("Petr also wants the first file to bill another team.");
    petr.save("10-tiles.json", &service("tilecast", "salt", 2000));
    day.publish("petr", &mut petr);
    day.adopt("petr", &mut petr);
    day.tell("He undoes his edit and adopts hers.");
    petr.save("10-tiles.json", &service("tilecast", "ice", 2000));
    day.adopt("petr", &mut petr);
    day.publish("petr", &mut petr);

    day.tell("The archived folder is published late, as it was; then with one new file.");
    day.publish("archive", &mut archive);
    archive.save("30-calls.json", &service("callbell", "crews", 600));
    day.publish("archive", &mut archive);

    day.tell("Iva checks out an old revision of her files, but the hidden file is the newest one.");
    iva.save("10-tiles.json", &service("tilecast", "ice", 2000));
    day.publish("iva", &mut iva);
    day.adopt("iva", &mut iva);
    iva.save("10-tiles.json", &service("tilecast", "roads", 2000));

    day.tell("She tries to divide a service anew, then to do so by removing it first.");
    iva.save("20-brine.json", &service("brinedesk", "salt", 2400));
    day.publish("iva", &mut iva);
    iva.remove("20-brine.json");
    day.publish("iva", &mut iva);
    iva.save("20-brine.json", &service("brinedesk", "salt", 2400));
    day.publish("iva", &mut iva);
    insta::assert_snapshot!(day.out);
}
