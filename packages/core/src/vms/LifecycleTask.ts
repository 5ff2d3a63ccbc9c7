import * as tasks from '../tasks/index.js';
import type * as lifecycleMessage from './LifecycleMessage.js';
import type * as vmContext from './VmContext.js';

// A peer that missed the first announcement returns the address of this VM to callers until a repeated announcement arrives.
const ANNOUNCEMENT_MS = 5_000;

/** Owns the lifecycle state of the VM, from its start to the end of a graceful shutdown. */
export class LifecycleTask extends tasks.Task<lifecycleMessage.LifecycleMessage> {
  private state: 'starting' | 'serving' | 'leaving' = 'starting';

  /** @param context - Dependencies shared by the tasks of the VM. */
  constructor(private readonly context: vmContext.VmContext) {
    super(context.scheduler);
  }

  /** Gets the state of the VM for the status page. */
  getState(): 'starting' | 'serving' | 'leaving' {
    return this.state;
  }

  /** @internal */
  override handle(message: lifecycleMessage.LifecycleMessage): void {
    switch (message.type) {
      case 'document-accepted':
        if (this.state === 'starting') this.notifyState('serving');
        break;
      case 'stop':
        this.beginStop();
        break;
      case 'validity-expired':
        this.context.mailboxes.requests.post({ type: 'stop', replyTo: this });
        break;
      case 'requests-ended':
        this.context.mailboxes.evidence.post({ type: 'flush-requested', replyTo: this });
        break;
      case 'evidence-flushed':
        this.context.outbox.post({ type: 'stopped' });
        break;
      // no default
    }
  }

  private beginStop(): void {
    if (this.state === 'leaving') return;
    this.notifyState('leaving');
    this.context.mailboxes.ledger.post({ type: 'stop-issuing' });
    // Callers may use a cached address answer until its validity expires, so requests are served until then.
    this.context.timers.subscribe({
      mailbox: this, message: { type: 'validity-expired' }, delayMs: this.context.addressValidityMs + ANNOUNCEMENT_MS,
    });
  }

  private notifyState(state: 'serving' | 'leaving'): void {
    this.state = state;
    this.context.mailboxes.addresses.post({ type: 'state-changed', state });
    this.context.mailboxes.peers.post({ type: 'state-changed', state });
  }
}
