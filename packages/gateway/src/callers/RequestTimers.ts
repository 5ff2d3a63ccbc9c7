import type * as core from '@tamarackferry/core';

import type * as routedRequest from './RoutedRequest.js';
import type * as routedRequestMessage from './RoutedRequestMessage.js';

/** Timers of single requests, which fire as messages to the task that owns the requests. */
export class RequestTimers {
  /**
   * @param timers - Timer service of the VM.
   * @param mailbox - Task that owns the requests.
   */
  constructor(
    private readonly timers: core.time.TimerService,
    private readonly mailbox: core.tasks.Mailbox<routedRequestMessage.RoutedRequestMessage>,
  ) {}

  /**
   * Sends a message about a request after a time, unless the request ends before.
   * @param request - Request.
   * @param type - Type of the message.
   * @param delayMs - Time until the message, in milliseconds; at once if it is negative.
   */
  subscribe(request: routedRequest.RoutedRequest, type: 'deadline-reached' | 'hedge-due', delayMs: number): void {
    request.timers.push(this.timers.subscribe({
      mailbox: this.mailbox, message: { type, requestId: request.options.arrival.requestId }, delayMs: Math.max(0, delayMs),
    }));
  }
}
