use super::*;
use std::io::BufRead;

/// A host on which an operator detaches an endpoint while the state is read for the successor.
#[derive(Default)]
struct ChangingHost(RefCell<Weak<HotRestart>>);

impl HotRestartHost for ChangingHost {
    fn listener(&self) -> io::Result<OwnedFd> {
        Ok(TcpListener::bind(("127.0.0.1", 0))?.into())
    }

    fn state(&self) -> State {
        let change = ManualChange::Detach("a".into());
        self.0.borrow().upgrade().iter().for_each(|hot_restart| hot_restart.on_manual_change(change.clone()));
        State::default()
    }

    fn set_accepting(&self, _: bool) {}
    fn share_limits(&self, _: u32) {}
    fn apply_change(&self, _: &ManualChange) {}
    fn on_request_id(&self, _: IdEvent) {}
}

#[test]
fn manual_change_during_the_handover_reaches_the_successor() {
    actix_rt::System::new().block_on(async {
        let name = format!("olivecart-hot_restart-test-{}.sock", std::process::id());
        let (path, host) = (std::env::temp_dir().join(name), Rc::new(ChangingHost::default()));
        let log = Logger::root(slog::Discard, slog::o!());
        let hot_restart = HotRestart::start(host.clone(), path.clone(), None, log);
        host.0.replace(Rc::downgrade(&hot_restart));
        let first_line = tokio::task::spawn_blocking(move || {
            let PeerConnection { stream, read_ahead, .. } = take_over(&path).expect("handover").connection;
            let _ = std::fs::remove_file(&path);
            let mut line = String::new();
            io::BufReader::new(io::Read::chain(read_ahead.as_slice(), stream))
                .read_line(&mut line)
                .map(|_| line)
        });
        let line = first_line.await.expect("no panic").expect("received");
        assert!(matches!(serde_json::from_str(&line), Ok(Message::Detach(id)) if id == "a"), "{line}");
    });
}
