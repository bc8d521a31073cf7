//! Authentication of clients by SASL.
//!
//! [`Authenticator`] answers the requests that the protocol library makes while a client authenticates. PLAIN passwords
//! are checked, and failed logins are answered, when a timer of the client's socket elapses.

use super::clients::Clients;
use super::nonce::{fake_salt, nonce};
use super::password_checks::PasswordChecks;
use super::peers::Peers;
use super::users::{Identity, Users};
use crate::frontend::{FrontendContext, TimerEvent};
use crate::net::Token;
use crate::requests::FrontendId;
use sparbank_amqp::SaslRequest;
use std::rc::Rc;
use std::time::Duration;

/// A failed authentication is answered after this: it limits how fast passwords can be guessed.
const FAILED_LOGIN_DELAY: Duration = Duration::from_secs(1);

/// Decides who clients are.
pub struct Authenticator {
    frontend: FrontendId,
    password_checks: PasswordChecks,
    rejected_logins: u64,
}

impl Authenticator {
    /// An authenticator whose timers belong to this frontend.
    pub fn new(frontend: FrontendId) -> Authenticator {
        Authenticator { frontend, password_checks: PasswordChecks::default(), rejected_logins: 0 }
    }

    /// Clients that failed to authenticate.
    pub fn rejected_logins(&self) -> u64 {
        self.rejected_logins
    }

    /// A client authenticates. Without a users' file every anonymous client is let in.
    pub fn on_request(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        request: SaslRequest,
    ) {
        let clients = &mut *peers.clients;
        match &peers.config.known_users {
            Some(users) => self.authenticate(ctx, clients, users, token, request),
            None => {
                if let Some(client) = clients.get(token) {
                    client.conn.finish_sasl(request == SaslRequest::Anonymous);
                }
            }
        }
    }

    fn authenticate(
        &mut self,
        ctx: &mut FrontendContext,
        clients: &mut Clients,
        users: &Users,
        token: Token,
        request: SaslRequest,
    ) {
        match request {
            SaslRequest::Anonymous => self.finish(ctx, clients, token, users.anonymous()),
            SaslRequest::ScramKeys { user } => {
                let keys = users.keys(&user).cloned();
                if let Some(client) = clients.get(token) {
                    client.conn.provide_scram_keys(keys, &fake_salt(&user), &nonce());
                }
            }
            SaslRequest::ScramProof { user, is_valid } => {
                let identity = users.named(&user).filter(|_| is_valid);
                self.finish(ctx, clients, token, identity);
            }
            SaslRequest::Plain { user, password } => {
                match self.password_checks.start(token, users, user, &password) {
                    Ok(()) => self.schedule(ctx, token, Duration::ZERO),
                    Err(_) => self.finish(ctx, clients, token, None),
                }
            }
            SaslRequest::External => {
                let name = clients.get(token).and_then(|client| client.certificate_name());
                let identity = name.and_then(|name| users.named(&name));
                self.finish(ctx, clients, token, identity);
            }
        }
    }

    /// Lets in a client with an identity. Without one it is rejected after a delay.
    fn finish(
        &mut self,
        ctx: &mut FrontendContext,
        clients: &mut Clients,
        token: Token,
        identity: Option<Rc<Identity>>,
    ) {
        let Some(client) = clients.get(token) else { return };
        match identity {
            Some(identity) => {
                client.set_identity(identity);
                client.conn.finish_sasl(true);
                clients.mark_dirty(token);
            }
            None => {
                self.rejected_logins += 1;
                client.reject_login_at(ctx.now + FAILED_LOGIN_DELAY);
                self.schedule(ctx, token, FAILED_LOGIN_DELAY);
            }
        }
    }

    /// A timer of a client's socket has elapsed.
    pub fn on_timer(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>, token: Token) {
        self.check_passwords(ctx, peers);
        let Some(client) = peers.clients.get(token) else { return };
        if client.take_due_rejection(ctx.now) {
            client.conn.finish_sasl(false);
            peers.clients.mark_dirty(token);
        }
    }

    /// Does one slice of one password check, whichever client waits: no slice delays the event loop noticeably.
    fn check_passwords(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>) {
        if let Some(checked) = self.password_checks.step() {
            let users = peers.config.known_users.as_ref();
            let identity = users.and_then(|users| users.named(&checked.user)).filter(|_| checked.is_valid);
            self.finish(ctx, peers.clients, checked.token, identity);
        }
        if let Some(token) = self.password_checks.next_token() {
            self.schedule(ctx, token, Duration::ZERO);
        }
    }

    fn schedule(&self, ctx: &mut FrontendContext, token: Token, delay: Duration) {
        ctx.wheel.schedule(ctx.now + delay, TimerEvent::FrontendTimer(self.frontend, token));
    }
}
