import type * as vmIdentity from './VmIdentity.js';

// Messages of one burst of a dead incarnation arrive closer together than this.
const CONFIRMATION_DELAY_MS = 500;

const CHALLENGE_TIMEOUT_MS = 5_000;

interface Challenge {
  readonly identity: vmIdentity.VmIdentity;
  readonly sinceMs: number;
}

/**
 * Decides which incarnation of a peer is the present one. Tokens have no order, so the one that was heard last decides, with
 * hysteresis: another incarnation first becomes a challenger and both are asked. It replaces the present one when it is heard
 * again at least 500 ms later and the present one was not heard in the meantime.
 */
export class IncarnationPolicy {
  private challenge: Challenge | undefined;

  /** Records that the present incarnation was heard, which ends a challenge. */
  recordCurrent(): void {
    this.challenge = undefined;
  }

  /**
   * Gets the challenger, which is to be asked again until the matter is settled.
   * @param nowMs - Present time in milliseconds.
   */
  getChallenger(nowMs: number): vmIdentity.VmIdentity | undefined {
    return this.challenge !== undefined && nowMs - this.challenge.sinceMs < CHALLENGE_TIMEOUT_MS ? this.challenge.identity : undefined;
  }

  /**
   * Decides about a message of another incarnation than the present one.
   * @param identity - Sender of the message.
   * @param nowMs - Present time in milliseconds.
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
