import type * as vmIdentity from './VmIdentity.js';

// Longer than a burst of delayed messages of a terminated incarnation.
const CONFIRMATION_DELAY_MS = 500;

const CHALLENGE_TIMEOUT_MS = 5_000;

interface Challenge {
  readonly identity: vmIdentity.VmIdentity;
  readonly sinceMs: number;
}

/**
 * Decides which incarnation (run of the process, identified by a random token) of a peer is the current one. Tokens have no order,
 * so the incarnation of the latest message counts, with hysteresis: a different incarnation first becomes the challenger, and an
 * exchange is requested from both. The challenger replaces the current incarnation when a further message of the challenger arrives
 * at least 500 ms later and no message of the current incarnation has arrived in the meantime.
 */
export class IncarnationPolicy {
  private challenge: Challenge | undefined;

  /** Records that a message of the current incarnation has arrived, which ends a challenge. */
  recordCurrent(): void {
    this.challenge = undefined;
  }

  /**
   * Gets the challenger, from which exchanges are requested until one of the incarnations is accepted or the challenge times out.
   * @param nowMs - Current time in milliseconds.
   */
  getChallenger(nowMs: number): vmIdentity.VmIdentity | undefined {
    return this.challenge !== undefined && nowMs - this.challenge.sinceMs < CHALLENGE_TIMEOUT_MS ? this.challenge.identity : undefined;
  }

  /**
   * Decides how to handle a message of an incarnation that is not the current one.
   * @param identity - Sender of the message.
   * @param nowMs - Current time in milliseconds.
   * @returns `replace`: the sender becomes the current incarnation. `probe-both`: an exchange is to be requested from both
   * incarnations. `wait`: the challenge continues.
   */
  decide(identity: vmIdentity.VmIdentity, nowMs: number): 'replace' | 'probe-both' | 'wait' {
    const { challenge } = this;
    if (challenge === undefined || this.getChallenger(nowMs)?.incarnation !== identity.incarnation) {
      this.challenge = { identity, sinceMs: nowMs };
      return 'probe-both';
    }
    if (nowMs - challenge.sinceMs < CONFIRMATION_DELAY_MS) return 'wait';
    this.challenge = undefined;
    return 'replace';
  }
}
