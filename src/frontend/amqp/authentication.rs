//! Authentication of clients by SASL.
//!
//! [`Authenticator`] answers the SASL requests that the protocol library raises while a client authenticates. PLAIN
//! passwords are checked, and failed logins are answered, when a timer of the client's socket expires.

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

/// The delay before a failed login is answered. It limits the rate of password guessing.
const FAILED_LOGIN_DELAY: Duration = Duration::from_secs(1);

/// Runs the SASL logins of all clients: password checks, SCRAM exchanges and delayed rejections.
pub struct Authenticator {
    frontend: FrontendId,
    password_checks: PasswordChecks,
    rejected_logins: u64,
}

impl Authenticator {
    /// Creates an authenticator whose timer events are delivered to `frontend`.
    pub fn new(frontend: FrontendId) -> Authenticator {
        Authenticator { frontend, password_checks: PasswordChecks::default(), rejected_logins: 0 }
    }

    /// The number of failed logins.
    pub fn rejected_logins(&self) -> u64 {
        self.rejected_logins
    }

    /// Handles a SASL request of a client. Without a users file, ANONYMOUS is accepted and every other mechanism fails.
    pub fn on_request(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        request: SaslRequest,
    ) {
        let clients = &mut *peers.clients;
        match &peers.config.users {
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
            SaslRequest::Anonymous => self.finish_login(ctx, clients, token, users.anonymous_identity()),
            SaslRequest::ScramKeys { user } => {
                let keys = users.keys(&user).cloned();
                if let Some(client) = clients.get(token) {
                    client.conn.provide_scram_keys(keys, &fake_salt(&user), &nonce());
                }
            }
            SaslRequest::ScramProof { user, is_valid } => {
                let identity = users.identity(&user).filter(|_| is_valid);
                self.finish_login(ctx, clients, token, identity);
            }
            SaslRequest::Plain { user, password } => {
                match self.password_checks.start(token, users, user, &password) {
                    Ok(()) => self.schedule_timer(ctx, token, Duration::ZERO),
                    Err(_) => self.finish_login(ctx, clients, token, None),
                }
            }
            SaslRequest::External => {
                let name = clients.get(token).and_then(|client| client.certificate_name());
                let identity = name.and_then(|name| users.identity(&name));
                self.finish_login(ctx, clients, token, identity);
            }
        }
    }

    /// Completes a login. Without an identity the login has failed, and the client is rejected after
    /// [`FAILED_LOGIN_DELAY`].
    fn finish_login(
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
                client.schedule_login_rejection(ctx.now + FAILED_LOGIN_DELAY);
                self.schedule_timer(ctx, token, FAILED_LOGIN_DELAY);
            }
        }
    }

    /// Handles the expiry of a timer of a client's socket.
    pub fn on_timer(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>, token: Token) {
        self.check_passwords(ctx, peers);
        let Some(client) = peers.clients.get(token) else { return };
        if client.take_due_login_rejection(ctx.now) {
            client.conn.finish_sasl(false);
            peers.clients.mark_dirty(token);
        }
    }

    /// Runs one slice of the next pending password check, which need not be of the client whose timer expired. Slices
    /// are short enough not to stall the event loop.
    fn check_passwords(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>) {
        if let Some(checked) = self.password_checks.step() {
            let users = peers.config.users.as_ref();
            let identity = users.and_then(|users| users.identity(&checked.user)).filter(|_| checked.is_valid);
            self.finish_login(ctx, peers.clients, checked.token, identity);
        }
        if let Some(token) = self.password_checks.next_token() {
            self.schedule_timer(ctx, token, Duration::ZERO);
        }
    }

    fn schedule_timer(&self, ctx: &mut FrontendContext, token: Token, delay: Duration) {
        ctx.wheel.schedule(ctx.now + delay, TimerEvent::FrontendTimer(self.frontend, token));
    }
}
